#ifndef ACACIACROSS_UNITTESTS_CONFIGURATION_SIMULATEDFLEET_H
#define ACACIACROSS_UNITTESTS_CONFIGURATION_SIMULATEDFLEET_H

#include "Common/SeededRandom.h"
#include "TestSupport/ManualClock.h"
#include "UnitTests/Configuration/SimulatedVm.h"

#include <deque>
#include <memory>
#include <vector>

namespace acaciacross::configuration {

/// Simulation of a fleet on a virtual clock, determined by its seed. Up to nine
/// entry VMs run with lost messages, restarts and possibly an isolated VM, and
/// can read the service only at times. After the publication of a change, one
/// VM can always read the service.
class SimulatedFleet {
public:
  explicit SimulatedFleet(std::uint64_t Seed);

  /// Runs the simulation until 11 s after the publication.
  void run();

  /// Number of VMs that should have the published revision but do not.
  std::size_t countOutdated() const;
  /// Maximum number of calls to the service within any second.
  std::size_t maxCallsPerSecond() const;
  const DeploymentBudget &budget() const;

private:
  common::MonotonicTime now() const;
  bool occurs(double Probability);
  void step();
  void injectFaults();
  void restart(std::size_t Index);
  void exchange(SimulatedVm &Vm, const SimulatedVm &Peer);
  void watch(SimulatedVm &Vm);
  void read(SimulatedVm &Vm);
  void recordCall();

  common::SeededRandom Random;
  testsupport::ManualClock Clock;
  DeploymentBudget Budget;
  std::vector<std::unique_ptr<SimulatedVm>> Vms;
  std::size_t AlwaysReadingVm = 0;
  std::size_t IsolatedVm = 0;
  double LossProbability = 0;
  std::uint64_t PublishedRevision = 1;
  std::deque<common::MonotonicTime> RecentCalls;
  std::size_t MaxCallsPerSecond = 0;
};

} // namespace acaciacross::configuration

#endif
