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

// The key of the wake-up descriptor; descriptors in Watches are below it.
constexpr std::uint64_t WakerKey = ~std::uint64_t{0};

std::uint64_t keyOf(int Number, std::uint32_t Generation) {
  return (std::uint64_t{Generation} << 32) | static_cast<std::uint32_t>(Number);
}

} // namespace

EventLoop::EventLoop(const common::Clock &TimeSource)
    : Time(TimeSource), Poller(::epoll_create1(EPOLL_CLOEXEC)),
      Waker(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  epoll_event Event{};
  Event.events = EPOLLIN;
  Event.data.u64 = WakerKey;
  if (!this->Poller.isOpen() || !this->Waker.isOpen() ||
      ::epoll_ctl(this->Poller.get(), EPOLL_CTL_ADD, this->Waker.get(),
                  &Event) != 0)
    throw common::Error(common::ResultCode::SocketFailed,
                        "the event loop could not be created");
  this->refreshTime();
}

void EventLoop::add(int Number, IoHandler &Handler, std::uint32_t Interest) {
  const auto Index = static_cast<std::size_t>(Number);
  if (this->Watches.size() <= Index)
    this->Watches.resize(Index + 1);
  Watch &Slot = this->Watches[Index];
  Slot.Handler = &Handler;
  ++Slot.Generation;
  epoll_event Event{};
  Event.events = Interest;
  Event.data.u64 = keyOf(Number, Slot.Generation);
  ::epoll_ctl(this->Poller.get(), EPOLL_CTL_ADD, Number, &Event);
}

void EventLoop::change(int Number, std::uint32_t Interest) {
  epoll_event Event{};
  Event.events = Interest;
  Event.data.u64 =
      keyOf(Number, this->Watches[static_cast<std::size_t>(Number)].Generation);
  ::epoll_ctl(this->Poller.get(), EPOLL_CTL_MOD, Number, &Event);
}

// The descriptor is closed by its owner, which takes it off the poller without
// another system call.
void EventLoop::remove(int Number) {
  Watch &Slot = this->Watches[static_cast<std::size_t>(Number)];
  Slot.Handler = nullptr;
  ++Slot.Generation;
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

// The two values are not read together; a reader that is wrong by one wait for
// a moment does no harm.
std::chrono::nanoseconds EventLoop::waited() const {
  const std::int64_t Since = this->WaitsSinceNs;
  const std::int64_t Open =
      Since == 0 ? 0
                 : this->Time.monotonicNow().time_since_epoch().count() - Since;
  return std::chrono::nanoseconds(this->WaitedNs + Open);
}

void EventLoop::run() {
  while (!this->Stopping) {
    this->wait();
    this->runDueTimers();
    this->Retired.clear();
  }
}

void EventLoop::wait() {
  std::array<epoll_event, EventsPerRound> Events{};
  const common::MonotonicTime Began = this->Time.monotonicNow();
  this->WaitsSinceNs = Began.time_since_epoch().count();
  const int Count = ::epoll_wait(this->Poller.get(), Events.data(),
                                 EventsPerRound, this->timeout(Began));
  this->refreshTime();
  this->WaitsSinceNs = 0;
  this->WaitedNs += (this->Now - Began).count();
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
  const Watch &Slot = this->Watches[Index];
  // Another handler of this round may have closed the descriptor, and its
  // number may already belong to a new connection.
  if (Slot.Handler == nullptr || Slot.Generation != Key >> 32)
    return;
  this->refreshTime();
  Slot.Handler->onReady(Events);
}

void EventLoop::runDueTimers() {
  this->refreshTime();
  while (!this->Timers.empty() && this->Timers.begin()->first.At <= this->Now) {
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

int EventLoop::timeout(common::MonotonicTime From) const {
  if (this->Timers.empty())
    return -1;
  const auto Left = this->Timers.begin()->first.At - From;
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
