#ifndef ACACIACROSS_DISCOVERY_STOREREADERELECTION_H
#define ACACIACROSS_DISCOVERY_STOREREADERELECTION_H

#include "Common/Identifiers.h"

#include <set>
#include <vector>

namespace acaciacross::discovery {

/// Decides which VMs watch the store for the fleet. Placed VMs are elected
/// because their peers probe them most often, so that the other VMs soon learn
/// of an answer of the store. A VM that is silent is replaced before it counts
/// as lost: the sum of both times would exceed the time within which a change
/// must be in effect.
class StoreReaderElection {
public:
  /// Placed: the VMs that take callers; before the first configuration there
  /// are none, and any live VM may be elected. Silent: VMs that have left a
  /// probe of this VM unanswered for some time.
  static bool isElected(const common::VmId &Own,
                        const std::set<common::VmId> &Placed,
                        const std::vector<common::VmId> &Live,
                        const std::set<common::VmId> &Silent);
};

} // namespace acaciacross::discovery

#endif
