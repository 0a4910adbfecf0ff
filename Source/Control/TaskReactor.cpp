#include "Control/TaskReactor.h"

#include "Common/Log.h"

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Event_Handler_Handle_Timeout_Upcall.h>
#include <ace/Monotonic_Time_Policy.h>
#include <ace/Recursive_Thread_Mutex.h>
#include <ace/Timer_Heap_T.h>

#include <limits>
#include <stdexcept>
#include <string>
#include <utility>

namespace acaciacross::control {

namespace {

// Optional tasks carry evidence, which is useful only while it is recent, so
// they are dropped when this many tasks are queued.
constexpr std::size_t MaxOptionalTasks = 10'000;

// The default timer queue of ACE uses the wall clock, so a clock step would
// stop the tick or make it run continuously.
using MonotonicTimerQueue =
    ACE_Timer_Heap_T<ACE_Event_Handler *,
                     ACE_Event_Handler_Handle_Timeout_Upcall,
                     ACE_SYNCH_RECURSIVE_MUTEX, ACE_Monotonic_Time_Policy>;

// Uses epoll, because select accepts no descriptor above 1,023 and a VM has
// several hundred connections to callers and upstreams.
std::unique_ptr<ACE_Reactor> makeReactor(ACE_Timer_Queue &Timers) {
  auto *Implementation = new ACE_Dev_Poll_Reactor(nullptr, &Timers);
  // epoll_wait fails with EINTR when the process is stopped and continued.
  // Without a restart this would end the event loop and thereby the thread.
  Implementation->restart(true);
  const bool OwnsImplementation = true;
  return std::make_unique<ACE_Reactor>(Implementation, OwnsImplementation);
}

} // namespace

TaskReactor::TaskReactor(Task AfterWorkCallback)
    : AfterWork(std::move(AfterWorkCallback)),
      Timers(std::make_unique<MonotonicTimerQueue>()),
      Reactor(makeReactor(*this->Timers)) {
  this->reactor(this->Reactor.get());
}

TaskReactor::~TaskReactor() {
  this->Reactor->cancel_timer(this);
  this->Reactor->purge_pending_notifications(this);
}

void TaskReactor::post(Task Work) {
  this->enqueue(std::move(Work), std::numeric_limits<std::size_t>::max());
}

void TaskReactor::postOptional(Task Work) {
  this->enqueue(std::move(Work), MaxOptionalTasks);
}

void TaskReactor::run(std::chrono::milliseconds TickPeriod, Task TickTask) {
  this->Tick = std::move(TickTask);
  this->Reactor->owner(ACE_OS::thr_self());
  const ACE_Time_Value Period(TickPeriod);
  if (this->Reactor->schedule_timer(this, nullptr, Period, Period) < 0)
    throw std::runtime_error("the control tick could not be scheduled");
  this->AfterWork();
  this->Reactor->run_reactor_event_loop();
  this->Reactor->cancel_timer(this);
}

void TaskReactor::end() {
  {
    const std::lock_guard Guard(this->Mutex);
    this->IsStopped = true;
    this->PendingTasks.clear();
  }
  this->Reactor->end_reactor_event_loop();
}

ACE_Reactor &TaskReactor::events() { return *this->Reactor; }

int TaskReactor::handle_input(ACE_HANDLE) {
  this->runTasks();
  this->AfterWork();
  return 0;
}

int TaskReactor::handle_timeout(const ACE_Time_Value &, const void *) {
  runAndLogErrors(this->Tick);
  this->AfterWork();
  return 0;
}

bool TaskReactor::enqueue(Task Work, std::size_t MaxPending) {
  bool WasEmpty = false;
  {
    const std::lock_guard Guard(this->Mutex);
    if (this->IsStopped || this->PendingTasks.size() >= MaxPending)
      return false;
    WasEmpty = this->PendingTasks.empty();
    this->PendingTasks.push_back(std::move(Work));
  }
  // One notification per batch, because the notification pipe has a limited
  // size: a task that posts while it is full would wait for its own thread.
  if (WasEmpty)
    this->Reactor->notify(this, ACE_Event_Handler::READ_MASK);
  return true;
}

void TaskReactor::runTasks() {
  std::vector<Task> Batch;
  {
    const std::lock_guard Guard(this->Mutex);
    Batch.swap(this->PendingTasks);
  }
  for (const Task &Work : Batch)
    runAndLogErrors(Work);
}

void TaskReactor::runAndLogErrors(const Task &Work) {
  try {
    Work();
  } catch (const std::exception &Error) {
    common::logWarning(common::LogEvent::ControlTaskFailed,
                       "reason=\"" + std::string(Error.what()) + "\"");
  }
}

} // namespace acaciacross::control
