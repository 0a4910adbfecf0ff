#ifndef ACACIACROSS_FORWARDING_FLEETMEMBERS_H
#define ACACIACROSS_FORWARDING_FLEETMEMBERS_H

#include "Common/Identifiers.h"

#include <set>
#include <vector>

namespace acaciacross::forwarding {

/// The VMs of the fleet as this VM sees them.
struct FleetMembers {
  common::VmId Self;
  /// The VMs that take callers.
  std::set<common::VmId> Placed;
  /// All VMs that are not known to be lost or leaving.
  std::vector<common::VmId> Live;
  /// Whether this VM has had time to find all others.
  bool IsKnown = false;
};

} // namespace acaciacross::forwarding

#endif
