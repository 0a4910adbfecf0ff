#ifndef ACACIACROSS_PLATFORM_POLLINGTHREAD_H
#define ACACIACROSS_PLATFORM_POLLINGTHREAD_H

#include "Common/Time.h"
#include "Platform/PollStep.h"

#include <atomic>
#include <thread>

namespace acaciacross::platform {

/// A thread that runs a step, sleeps, and runs it again.
class PollingThread {
public:
  /// The step must outlive the thread.
  explicit PollingThread(PollStep &Repeated);
  ~PollingThread();
  PollingThread(const PollingThread &) = delete;
  PollingThread &operator=(const PollingThread &) = delete;

  void start();
  /// Interrupts the step or the sleep and waits for the end of the thread.
  void stop();

  /// Thread-safe. Ends the sleep, and makes a transfer ask whether it is still
  /// wanted.
  void wake();

private:
  void run();
  /// Until Due or the next wake.
  void sleepUntil(common::MonotonicTime Due);

  PollStep &Step;
  HttpFetcher Fetcher;
  std::atomic<bool> Stopping = false;
  std::atomic<bool> Woken = false;
  std::thread Worker;
};

} // namespace acaciacross::platform

#endif
