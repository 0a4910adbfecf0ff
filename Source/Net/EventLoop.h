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

/// Readiness events, timers and tasks of one thread. Everything but post and
/// stop belongs to the thread that runs the loop.
class EventLoop {
public:
  using Task = std::function<void()>;

  /// Throws common::Error (SocketFailed).
  explicit EventLoop(const common::Clock &TimeSource);

  void add(int Number, IoHandler &Handler, std::uint32_t Interest);
  void change(int Number, std::uint32_t Interest);
  /// Events that already wait for this descriptor are dropped.
  void remove(int Number);

  TimerId schedule(common::MonotonicTime At, Task Work);
  /// No effect when the call has been made or cancelled.
  void cancel(const TimerId &Timer);

  /// Keeps Object until the present round ends, so that a handler can give up
  /// an object that is still on the call stack.
  void retire(std::shared_ptr<void> Object);

  /// The time at which the present event or timer was taken up.
  common::MonotonicTime now() const;

  /// Thread-safe. Runs Work on the loop's thread.
  void post(Task Work);
  /// Thread-safe.
  void stop();
  /// Thread-safe. How long the loop has waited for events since its start.
  std::chrono::nanoseconds waited() const;
  void run();

private:
  struct Watch {
    IoHandler *Handler = nullptr;
    std::uint32_t Generation = 0;
  };

  void wait();
  void dispatch(std::uint64_t Key, std::uint32_t Events);
  void runDueTimers();
  void runPosted();
  int timeout(common::MonotonicTime From) const;
  void refreshTime();
  void wake() const;

  const common::Clock &Time;
  Descriptor Poller;
  Descriptor Waker;
  std::vector<Watch> Watches;
  std::map<TimerId, Task> Timers;
  std::uint64_t NextTimer = 0;
  std::vector<std::shared_ptr<void>> Retired;
  common::MonotonicTime Now;
  bool Stopping = false;

  std::atomic<std::int64_t> WaitedNs{0};
  /// Since when the loop waits; 0 while it works.
  std::atomic<std::int64_t> WaitsSinceNs{0};

  std::mutex Mutex;
  /// Guarded by Mutex.
  std::vector<Task> Posted;
};

} // namespace acaciacross::net

#endif
