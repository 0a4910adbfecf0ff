#ifndef ACACIACROSS_FLEET_FLEETAGENTSETTINGS_H
#define ACACIACROSS_FLEET_FLEETAGENTSETTINGS_H

#include "Common/Address.h"
#include "Common/Identifiers.h"

#include <chrono>
#include <string>
#include <vector>

namespace acaciacross::fleet {

/// Who this VM is to its peers.
struct FleetAgentSettings {
  common::VmId Vm;
  common::Incarnation Run;
  /// Where callers connect.
  common::Address Callers;
  /// Where peers send probes.
  common::Address Peers;
  std::string FailureDomain;
  /// Processor that this VM may use, in thousandths of a core.
  unsigned CapacityMilliCores = 0;
  /// Peer addresses that may be stale.
  std::vector<common::Address> Seeds;
  /// How long a lost VM counts in the size of the fleet.
  std::chrono::milliseconds SizeWindow{10'000};
};

} // namespace acaciacross::fleet

#endif
