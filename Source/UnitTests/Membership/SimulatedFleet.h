#ifndef ACACIACROSS_UNITTESTS_MEMBERSHIP_SIMULATEDFLEET_H
#define ACACIACROSS_UNITTESTS_MEMBERSHIP_SIMULATEDFLEET_H

#include "Common/SeededRandom.h"
#include "Membership/EvidenceRelay.h"
#include "Membership/ProbePlan.h"
#include "Membership/Prober.h"
#include "TestSupport/EventQueue.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace acaciacross::membership {

/// Standby and placed VMs in six failure domains, two placed VMs in each, on a
/// simulated network that loses datagrams. The placed set does not change.
class SimulatedFleet {
public:
  static constexpr std::size_t DomainCount = 6;
  static constexpr std::size_t PlacedCount = 12;

  SimulatedFleet(std::size_t VmCount, std::uint64_t Seed);
  ~SimulatedFleet();
  SimulatedFleet(const SimulatedFleet &) = delete;
  SimulatedFleet &operator=(const SimulatedFleet &) = delete;

  void runFor(std::chrono::milliseconds Time);
  /// The VM neither sends nor answers from now on.
  void kill(std::size_t Vm);
  /// Datagrams between the failure domain and all others are lost.
  void cutOff(std::size_t Domain);
  void heal();

  std::size_t size() const;
  /// Whether the VM would name the placed VM to callers.
  bool isListed(std::size_t At, std::size_t Placed) const;
  common::MonotonicTime now() const;
  /// Datagrams sent since the last call: by the busiest VM, and by all VMs to
  /// other failure domains.
  std::size_t takeBusiestCount();
  std::size_t takeCrossDomainCount();

private:
  class Node;

  static common::Address addressOf(std::size_t Vm);
  static std::size_t domainOf(std::size_t Vm);
  static MemberStatus statusOf(std::size_t Vm);
  /// Schedules the delivery of one datagram, or loses it.
  void transmit(std::size_t From, std::size_t To,
                testsupport::EventQueue::Action Deliver);
  void tick(std::size_t Vm);
  void deliverProbe(std::size_t From, std::size_t To, std::uint64_t Sequence);

  testsupport::EventQueue Events;
  common::SeededRandom Random;
  std::set<common::VmId> Placed;
  std::vector<std::unique_ptr<Node>> Nodes;
  std::map<common::Address, std::size_t> VmByAddress;
  std::optional<std::size_t> CutDomain;
  std::size_t CrossDomainCount = 0;
};

} // namespace acaciacross::membership

#endif
