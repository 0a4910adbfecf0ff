#include "Net/EventLoop.h"

#include "Common/Error.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <utility>

namespace acaciacross::net {

namespace {

constexpr std::size_t EventsPerRound = 64;

// The key of the wake-up descriptor; the keys of other descriptors are smaller.
constexpr std::uint64_t WakerKey = ~std::uint64_t{0};

std::uint64_t keyOf(int Fd, std::uint32_t Generation) {
  return (std::uint64_t{Generation} << 32) | static_cast<std::uint32_t>(Fd);
}

} // namespace

EventLoop::EventLoop(const common::Clock &TimeSource)
    : Time(TimeSource), Epoll(::epoll_create1(EPOLL_CLOEXEC)),
      Waker(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  epoll_event Event{};
  Event.events = EPOLLIN;
  Event.data.u64 = WakerKey;
  if (!this->Epoll.isOpen() || !this->Waker.isOpen() ||
      ::epoll_ctl(this->Epoll.get(), EPOLL_CTL_ADD, this->Waker.get(),
                  &Event) != 0)
    throw common::Error(common::ResultCode::SocketFailed,
                        "the event loop could not be created");
  this->refreshTime();
}

void EventLoop::add(int Fd, IoHandler &Handler, std::uint32_t Interest) {
  const auto Index = static_cast<std::size_t>(Fd);
  if (this->Registrations.size() <= Index)
    this->Registrations.resize(Index + 1);
  Registration &Entry = this->Registrations[Index];
  Entry.Handler = &Handler;
  ++Entry.Generation;
  epoll_event Event{};
  Event.events = Interest;
  Event.data.u64 = keyOf(Fd, Entry.Generation);
  ::epoll_ctl(this->Epoll.get(), EPOLL_CTL_ADD, Fd, &Event);
}

void EventLoop::change(int Fd, std::uint32_t Interest) {
  epoll_event Event{};
  Event.events = Interest;
  Event.data.u64 =
      keyOf(Fd, this->Registrations[static_cast<std::size_t>(Fd)].Generation);
  ::epoll_ctl(this->Epoll.get(), EPOLL_CTL_MOD, Fd, &Event);
}

// The owner closes the descriptor, which removes it from epoll without another
// system call.
void EventLoop::remove(int Fd) {
  Registration &Entry = this->Registrations[static_cast<std::size_t>(Fd)];
  Entry.Handler = nullptr;
  ++Entry.Generation;
}

TimerId EventLoop::schedule(common::MonotonicTime At, Task Work) {
  const TimerId Timer{At, this->NextTimer++};
  this->Timers.emplace(Timer, std::move(Work));
  return Timer;
}

void EventLoop::cancel(const TimerId &Timer) { this->Timers.erase(Timer); }

void EventLoop::retire(std::shared_ptr<void> Object) {
  this->Retired.push_back(std::move(Object));
}

common::MonotonicTime EventLoop::now() const { return this->Now; }

void EventLoop::post(Task Work) {
  bool WasEmpty = false;
  {
    const std::lock_guard Guard(this->Mutex);
    WasEmpty = this->Posted.empty();
    this->Posted.push_back(std::move(Work));
  }
  if (WasEmpty)
    this->wake();
}

void EventLoop::stop() {
  this->post([this] { this->Stopping = true; });
}

// The two values are not read atomically together. An error by one wait for a
// moment is acceptable.
std::chrono::nanoseconds EventLoop::idleTime() const {
  const std::int64_t StartNs = this->WaitingSinceNs;
  const std::int64_t CurrentWaitNs =
      StartNs == 0
          ? 0
          : this->Time.monotonicNow().time_since_epoch().count() - StartNs;
  return std::chrono::nanoseconds(this->IdleNs + CurrentWaitNs);
}

void EventLoop::run() {
  while (!this->Stopping) {
    this->pollEvents();
    this->runDueTimers();
    this->Retired.clear();
  }
}

void EventLoop::pollEvents() {
  std::array<epoll_event, EventsPerRound> Events{};
  const common::MonotonicTime Start = this->Time.monotonicNow();
  this->WaitingSinceNs = Start.time_since_epoch().count();
  const int Count = ::epoll_wait(this->Epoll.get(), Events.data(),
                                 EventsPerRound, this->timeout(Start));
  this->refreshTime();
  this->WaitingSinceNs = 0;
  this->IdleNs += (this->Now - Start).count();
  for (int I = 0; I < Count; ++I) {
    const epoll_event &Event = Events[static_cast<std::size_t>(I)];
    this->dispatch(Event.data.u64, Event.events);
  }
}

void EventLoop::dispatch(std::uint64_t Key, std::uint32_t Events) {
  if (Key == WakerKey) {
    std::uint64_t Count = 0;
    [[maybe_unused]] const auto Read =
        ::read(this->Waker.get(), &Count, sizeof Count);
    this->runPosted();
    return;
  }
  const auto Index = static_cast<std::size_t>(Key & 0xffffffffU);
  const Registration &Entry = this->Registrations[Index];
  // An earlier handler of this round may have closed the descriptor, whose
  // number may already belong to a new connection.
  if (Entry.Handler == nullptr || Entry.Generation != Key >> 32)
    return;
  this->refreshTime();
  Entry.Handler->onReady(Events);
}

// A timer that is set for now by another one runs in the next round, so that
// work which continues itself this way leaves turns to the descriptors.
void EventLoop::runDueTimers() {
  this->refreshTime();
  const std::uint64_t FirstNew = this->NextTimer;
  while (!this->Timers.empty() &&
         this->Timers.begin()->first.DueAt <= this->Now &&
         this->Timers.begin()->first.Sequence < FirstNew) {
    const Task Work = std::move(this->Timers.begin()->second);
    this->Timers.erase(this->Timers.begin());
    Work();
  }
}

void EventLoop::runPosted() {
  std::vector<Task> Batch;
  {
    const std::lock_guard Guard(this->Mutex);
    Batch.swap(this->Posted);
  }
  for (const Task &Work : Batch)
    Work();
}

int EventLoop::timeout(common::MonotonicTime Start) const {
  if (this->Timers.empty())
    return -1;
  const auto Left = this->Timers.begin()->first.DueAt - Start;
  const auto Rounded = std::chrono::ceil<std::chrono::milliseconds>(Left);
  return static_cast<int>(std::clamp<std::int64_t>(Rounded.count(), 0, 60'000));
}

void EventLoop::refreshTime() { this->Now = this->Time.monotonicNow(); }

void EventLoop::wake() const {
  const std::uint64_t One = 1;
  [[maybe_unused]] const auto Written =
      ::write(this->Waker.get(), &One, sizeof One);
}

} // namespace acaciacross::net
