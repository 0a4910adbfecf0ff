#ifndef ACACIACROSS_FLEET_FLEETVIEW_H
#define ACACIACROSS_FLEET_FLEETVIEW_H

#include "Routing/AddressCandidate.h"

#include <set>
#include <vector>

namespace acaciacross::fleet {

/// What this VM knows of the fleet.
struct FleetView {
  /// This VM first, then the peers that serve and have fresh evidence.
  std::vector<routing::AddressCandidate> EntryVms;
  /// All VMs that are not known to be lost or to leave, with this one.
  std::vector<common::VmId> Live;
  /// How many of them serve.
  unsigned ServingCount = 0;
  /// Those that take callers.
  std::set<common::VmId> Placed;
  /// VMs that may hold connections to searchers or have sent requests in the
  /// last window of the repeat budget, with this one; FleetSizeMemory::Unknown
  /// for a while after the start.
  unsigned VmCount = 1;
};

} // namespace acaciacross::fleet

#endif
