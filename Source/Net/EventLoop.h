#ifndef ACACIACROSS_NET_EVENTLOOP_H
#define ACACIACROSS_NET_EVENTLOOP_H

#include "Common/Clock.h"
#include "Net/Descriptor.h"
#include "Net/IoHandler.h"
#include "Net/TimerId.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace acaciacross::net {

/// Dispatches readiness events, timers and posted tasks on one thread. Only the
/// functions marked as thread-safe may be called from other threads.
class EventLoop {
public:
  using Task = std::function<void()>;

  /// Throws common::Error (SocketFailed).
  explicit EventLoop(const common::Clock &TimeSource);

  /// Registers a descriptor. Interest: epoll events. Handler must stay valid
  /// until remove.
  void add(int Fd, IoHandler &Handler, std::uint32_t Interest);
  /// Changes the epoll events of a registered descriptor.
  void change(int Fd, std::uint32_t Interest);
  /// Removes a descriptor; its pending events are dropped. The owner must then
  /// close the descriptor.
  void remove(int Fd);

  /// Calls Work once, at the given time or soon after.
  TimerId schedule(common::MonotonicTime At, Task Work);
  /// Has no effect when the call was already made or cancelled.
  void cancel(const TimerId &Timer);

  /// Keeps Object alive until the current round ends, so that a handler can
  /// release an object with functions still on the call stack.
  void retire(std::shared_ptr<void> Object);

  /// The time at which the handling of the current event began, or of the
  /// timers of this round.
  common::MonotonicTime now() const;

  /// Thread-safe. Runs Work on the loop's thread.
  void post(Task Work);
  /// Thread-safe. Makes run return.
  void stop();
  /// Thread-safe. Total time that the loop has spent waiting for events.
  std::chrono::nanoseconds idleTime() const;
  /// Runs the loop on the calling thread until stop.
  void run();

private:
  struct Registration {
    IoHandler *Handler = nullptr;
    std::uint32_t Generation = 0;
  };

  void pollEvents();
  void dispatch(std::uint64_t Key, std::uint32_t Events);
  void runDueTimers();
  void runPosted();
  /// Milliseconds until the next timer, for epoll_wait; -1 without timers.
  int timeout(common::MonotonicTime Start) const;
  void refreshTime();
  void wake() const;

  const common::Clock &Time;
  Descriptor Epoll;
  Descriptor Waker;
  std::vector<Registration> Registrations;
  std::map<TimerId, Task> Timers;
  std::uint64_t NextTimer = 0;
  std::vector<std::shared_ptr<void>> Retired;
  common::MonotonicTime Now;
  bool Stopping = false;

  std::atomic<std::int64_t> IdleNs{0};
  /// Start of the current wait; 0 while the loop is busy.
  std::atomic<std::int64_t> WaitingSinceNs{0};

  std::mutex Mutex;
  /// Guarded by Mutex.
  std::vector<Task> Posted;
};

} // namespace acaciacross::net

#endif
