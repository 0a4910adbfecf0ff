#ifndef ACACIACROSS_UNITTESTS_CONFIGURATION_READINGFLEET_H
#define ACACIACROSS_UNITTESTS_CONFIGURATION_READINGFLEET_H

#include "Common/SeededRandom.h"
#include "TestSupport/ManualClock.h"
#include "UnitTests/Configuration/ReadingVm.h"

#include <deque>
#include <memory>
#include <vector>

namespace acaciacross::configuration {

/// One seeded schedule on a virtual clock: up to nine entry VMs, some of which
/// can read the service at times; lost messages, restarts and a VM that is cut
/// off. From the publication on, one VM can read the service all the time.
class ReadingFleet {
public:
  explicit ReadingFleet(std::uint64_t Seed);

  /// Runs the schedule up to 11 s after the publication.
  void run();

  /// VMs without the published revision that should have it.
  std::size_t countBehind() const;
  /// Most calls to the service within any second.
  std::size_t mostCalls() const;
  const DeploymentBudget &budget() const;

private:
  common::MonotonicTime now() const;
  bool happens(double Probability);
  void step();
  void disturb();
  void restart(std::size_t Index);
  void exchange(ReadingVm &Vm, const ReadingVm &Peer);
  void watch(ReadingVm &Vm);
  void read(ReadingVm &Vm);
  void countCall();

  common::SeededRandom Random;
  testsupport::ManualClock Clock;
  DeploymentBudget Budget;
  std::vector<std::unique_ptr<ReadingVm>> Vms;
  std::size_t Keeper = 0;
  std::size_t CutOff = 0;
  double LossRate = 0;
  std::uint64_t Published = 1;
  std::deque<common::MonotonicTime> RecentCalls;
  std::size_t MostCalls = 0;
};

} // namespace acaciacross::configuration

#endif
