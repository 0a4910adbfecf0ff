#ifndef ACACIACROSS_MEMBERSHIP_PROBEPLAN_H
#define ACACIACROSS_MEMBERSHIP_PROBEPLAN_H

#include "Common/Address.h"
#include "Membership/FleetTable.h"

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace acaciacross::membership {

/// Which peers of a large fleet a VM probes regularly. Placed VMs probe each
/// other. Standby VMs probe the placed VMs of their failure domain, which pass
/// on the evidence that they have of the others. The load that this answers is
/// a fleet of many standby VMs: the probes that leave a failure domain do not
/// grow with it.
struct ProbePlan {
  /// Probed round robin.
  std::vector<common::Address> Preferred;
  std::size_t PreferredPerRound = 0;
  /// A random peer is probed once in this many rounds.
  std::size_t RoundsPerSample = 1;

  /// Placed: the VMs that take callers. OwnVm and OwnDomain: this VM.
  static ProbePlan make(const FleetTable &Fleet,
                        const std::set<common::VmId> &Placed,
                        const common::VmId &OwnVm, const std::string &OwnDomain,
                        common::MonotonicTime Now);
};

} // namespace acaciacross::membership

#endif
