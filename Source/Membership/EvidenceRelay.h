#ifndef ACACIACROSS_MEMBERSHIP_EVIDENCERELAY_H
#define ACACIACROSS_MEMBERSHIP_EVIDENCERELAY_H

#include "Membership/FleetTable.h"
#include "Membership/PeerEvidence.h"

#include <set>
#include <vector>

namespace acaciacross::membership {

/// Collects the evidence that a placed VM passes on to standby VMs, so that
/// these need not probe each placed VM themselves.
class EvidenceRelay {
public:
  /// Returns fresh evidence of placed VMs, at most MaxRelayedPeers. Later calls
  /// continue with the VMs that did not fit.
  std::vector<PeerEvidence> collect(const FleetTable &Fleet,
                                    const std::set<common::VmId> &Placed,
                                    common::MonotonicTime Now);

private:
  /// The VM that the last call ended with, if not all did fit.
  common::VmId LastVm;
};

} // namespace acaciacross::membership

#endif
