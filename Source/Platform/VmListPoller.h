#ifndef ACACIACROSS_PLATFORM_VMLISTPOLLER_H
#define ACACIACROSS_PLATFORM_VMLISTPOLLER_H

#include "Common/SeededRandom.h"
#include "Control/ControlThread.h"
#include "Platform/Backoff.h"
#include "Platform/PollingThread.h"

namespace acaciacross::platform {

/// Reads the platform's list of VMs every few seconds and posts it to the
/// control thread.
class VmListPoller final : private PollStep {
public:
  // The platform's list is up to a minute old, so shorter periods gain little.
  static constexpr std::chrono::milliseconds DefaultPeriod{3'000};

  /// The control thread must outlive the poller. The time between two reads is
  /// chosen at random between one and two periods.
  VmListPoller(common::Address Server, control::ControlThread &Target,
               common::SeededRandom RandomNumbers,
               std::chrono::milliseconds MinPeriod = DefaultPeriod);

  void start();
  void stop();

private:
  std::chrono::milliseconds
  runStep(HttpFetcher &Fetcher,
          const std::function<bool()> &IsStopping) override;
  /// Logs the first failure in a row and returns the time until the next read.
  std::chrono::milliseconds recordFailure(const std::string &Reason);

  common::Address Service;
  control::ControlThread &Control;
  common::SeededRandom Random;
  std::chrono::milliseconds Period;
  Backoff CallBackoff;
  // Declared last, so that the thread ends before the other members are
  // destroyed.
  PollingThread Thread;
};

} // namespace acaciacross::platform

#endif
