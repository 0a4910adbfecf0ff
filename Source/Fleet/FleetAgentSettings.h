#ifndef ACACIACROSS_FLEET_FLEETAGENTSETTINGS_H
#define ACACIACROSS_FLEET_FLEETAGENTSETTINGS_H

#include "Common/Address.h"
#include "Common/Identifiers.h"

#include <chrono>
#include <string>
#include <vector>

namespace acaciacross::fleet {

/// Identity of this VM in the fleet, and how it finds its peers.
struct FleetAgentSettings {
  common::VmId Vm;
  common::Incarnation Incarnation;
  /// Where callers connect.
  common::Address CallerAddress;
  /// Where peers send probes.
  common::Address PeerAddress;
  std::string FailureDomain;
  /// CPU capacity of this VM in thousandths of a core.
  unsigned CapacityMilliCores = 0;
  /// Addresses of possible peers; some may be stale.
  std::vector<common::Address> SeedAddresses;
  /// Time for which a lost VM still counts towards the fleet size.
  std::chrono::milliseconds SizeWindow{10'000};
};

} // namespace acaciacross::fleet

#endif
