#ifndef ACACIACROSS_PLATFORM_POLLINGTHREAD_H
#define ACACIACROSS_PLATFORM_POLLINGTHREAD_H

#include "Common/Time.h"
#include "Platform/PollStep.h"

#include <atomic>
#include <thread>

namespace acaciacross::platform {

/// A thread that runs a step repeatedly and sleeps between the runs.
class PollingThread {
public:
  /// The step must outlive the thread.
  explicit PollingThread(PollStep &RepeatedStep);
  ~PollingThread();
  PollingThread(const PollingThread &) = delete;
  PollingThread &operator=(const PollingThread &) = delete;

  void start();
  /// Interrupts the step or the sleep and waits for the end of the thread.
  void stop();

  /// Thread-safe. Ends the sleep, and makes a running transfer check whether it
  /// is cancelled.
  void wake();

private:
  void run();
  /// Sleeps until WakeTime or the next wake.
  void sleepUntil(common::MonotonicTime WakeTime);

  PollStep &Step;
  HttpFetcher Fetcher;
  std::atomic<bool> IsStopping = false;
  std::atomic<bool> IsWoken = false;
  std::thread Worker;
};

} // namespace acaciacross::platform

#endif
