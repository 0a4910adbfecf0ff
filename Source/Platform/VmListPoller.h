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
  // The list lags by up to a minute, so more frequent reads would gain little.
  static constexpr std::chrono::milliseconds UsualPeriod{3'000};

  /// The control thread must outlive the poller. Reads are a period to two
  /// periods apart, drawn at random.
  VmListPoller(common::Address Server, control::ControlThread &Target,
               common::SeededRandom RandomNumbers,
               std::chrono::milliseconds ShortestPeriod = UsualPeriod);

  void start();
  void stop();

private:
  std::chrono::milliseconds
  runStep(HttpFetcher &Fetcher,
          const std::function<bool()> &IsStopping) override;
  std::chrono::milliseconds refuse(const std::string &Reason);

  common::Address Service;
  control::ControlThread &Control;
  common::SeededRandom Random;
  std::chrono::milliseconds Period;
  Backoff Waiting;
  // Last, so that its thread ends before the other members go.
  PollingThread Thread;
};

} // namespace acaciacross::platform

#endif
