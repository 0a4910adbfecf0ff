#ifndef ACACIACROSS_FLEET_FLEETVIEW_H
#define ACACIACROSS_FLEET_FLEETVIEW_H

#include "Routing/AddressCandidate.h"

#include <set>
#include <vector>

namespace acaciacross::fleet {

/// The fleet as this VM sees it.
struct FleetView {
  /// This VM first, then the serving peers with fresh evidence.
  std::vector<routing::AddressCandidate> EntryVms;
  /// All VMs that are not known to be lost or leaving, including this one.
  std::vector<common::VmId> LiveVms;
  /// The live VMs that have left a probe unanswered for MaxEvidenceAge.
  std::set<common::VmId> SilentVms;
  /// Whether all known addresses of VMs have been probed.
  bool IsComplete = true;
  /// Number of live VMs that are serving.
  unsigned ServingCount = 0;
  /// The VMs that take callers.
  std::set<common::VmId> PlacedVms;
  /// Number of VMs, including this one, that may hold connections to searchers
  /// or have sent requests within the last window of the retry budget;
  /// FleetSizeTracker::Unknown for a while after the start.
  unsigned VmCount = 1;
};

} // namespace acaciacross::fleet

#endif
