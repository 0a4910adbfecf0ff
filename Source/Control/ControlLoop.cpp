#include "Control/ControlLoop.h"

#include "Common/Log.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler_Handle_Timeout_Upcall.h>
#include <ace/Monotonic_Time_Policy.h>
#include <ace/Recursive_Thread_Mutex.h>
#include <ace/Timer_Heap_T.h>
#include <chrono>
#include <limits>
#include <stdexcept>
#include <utility>

namespace acaciacross::control {

namespace {

constexpr std::chrono::milliseconds TickPeriod{50};
constexpr std::chrono::milliseconds MaxViewAge{500};
// Evidence beyond this is dropped: it is of use only while it is fresh.
constexpr std::size_t MaxOptionalTasks = 10'000;

// ACE's usual timer queue goes by the wall clock, so that a step of the clock
// would stop the tick or run it without pause.
using MonotonicTimers =
    ACE_Timer_Heap_T<ACE_Event_Handler *,
                     ACE_Event_Handler_Handle_Timeout_Upcall,
                     ACE_SYNCH_RECURSIVE_MUTEX, ACE_Monotonic_Time_Policy>;

// epoll, because select accepts no descriptor above 1,023 and a VM holds
// several hundred connections of callers and upstreams.
std::unique_ptr<ACE_Reactor> makeReactor(ACE_Timer_Queue &Timers) {
  auto *Implementation = new ACE_Dev_Poll_Reactor(nullptr, &Timers);
  // epoll_wait also ends with EINTR when the process is stopped and continued,
  // which without this would end the event loop, and with it the thread.
  Implementation->restart(true);
  const bool OwnsImplementation = true;
  return std::make_unique<ACE_Reactor>(Implementation, OwnsImplementation);
}

} // namespace

ControlLoop::ControlLoop(std::unique_ptr<ControlState> Owned,
                         const common::Clock &TimeSource)
    : Time(TimeSource), State(std::move(Owned)),
      Timers(std::make_unique<MonotonicTimers>()),
      Reactor(makeReactor(*this->Timers)) {
  this->reactor(this->Reactor.get());
}

ControlLoop::~ControlLoop() {
  this->Reactor->cancel_timer(this);
  this->Reactor->purge_pending_notifications(this);
}

void ControlLoop::post(Task Work) {
  this->enqueue(std::move(Work), std::numeric_limits<std::size_t>::max());
}

void ControlLoop::postOptional(Task Work) {
  this->enqueue(std::move(Work), MaxOptionalTasks);
}

void ControlLoop::addListener(ViewListener &Listener) {
  this->Listeners.push_back(&Listener);
}

void ControlLoop::run() {
  this->Reactor->owner(ACE_OS::thr_self());
  const ACE_Time_Value Period(TickPeriod);
  if (this->Reactor->schedule_timer(this, nullptr, Period, Period) < 0)
    throw std::runtime_error("the control tick could not be scheduled");
  this->publishWhenDue();
  this->Reactor->run_reactor_event_loop();
  this->Reactor->cancel_timer(this);
}

void ControlLoop::end() {
  {
    const std::lock_guard Guard(this->Mutex);
    this->Ended = true;
    this->Pending.clear();
  }
  this->Reactor->end_reactor_event_loop();
}

ACE_Reactor &ControlLoop::events() { return *this->Reactor; }

ControlState &ControlLoop::state() { return *this->State; }

int ControlLoop::handle_input(ACE_HANDLE) {
  this->runTasks();
  this->publishWhenDue();
  return 0;
}

int ControlLoop::handle_timeout(const ACE_Time_Value &, const void *) {
  this->runGuarded([this] { this->State->tick(); });
  this->publishWhenDue();
  return 0;
}

bool ControlLoop::enqueue(Task Work, std::size_t MaxPending) {
  bool WasEmpty = false;
  {
    const std::lock_guard Guard(this->Mutex);
    if (this->Ended || this->Pending.size() >= MaxPending)
      return false;
    WasEmpty = this->Pending.empty();
    this->Pending.push_back(std::move(Work));
  }
  // One notification per batch: the notification pipe is of limited size, and a
  // task that posts while it is full would wait for its own thread.
  if (WasEmpty)
    this->Reactor->notify(this, ACE_Event_Handler::READ_MASK);
  return true;
}

void ControlLoop::runTasks() {
  std::vector<Task> Batch;
  {
    const std::lock_guard Guard(this->Mutex);
    Batch.swap(this->Pending);
  }
  for (const Task &Work : Batch)
    this->runGuarded([&] { Work(*this->State); });
}

void ControlLoop::runGuarded(const std::function<void()> &Work) {
  try {
    Work();
  } catch (const std::exception &Error) {
    common::logWarning(common::LogEvent::ControlTaskFailed,
                       "reason=\"" + std::string(Error.what()) + "\"");
  }
}

void ControlLoop::publishWhenDue() {
  const common::MonotonicTime Now = this->Time.monotonicNow();
  const bool IsDue = !this->HasPublished || this->State->isChanged() ||
                     Now - this->PublishedAt >= MaxViewAge;
  if (!IsDue)
    return;
  this->HasPublished = true;
  this->PublishedAt = Now;
  const std::shared_ptr<const ControlView> View = this->State->buildView();
  for (ViewListener *Listener : this->Listeners)
    this->runGuarded([&] { Listener->onView(View); });
}

} // namespace acaciacross::control
