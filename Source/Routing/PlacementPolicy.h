#ifndef ACACIACROSS_ROUTING_PLACEMENTPOLICY_H
#define ACACIACROSS_ROUTING_PLACEMENTPOLICY_H

#include "Common/Identifiers.h"
#include "Common/Time.h"
#include "Routing/PlacementCandidate.h"

#include <set>
#include <span>

namespace acaciacross::routing {

/// Chooses the entry VMs that take callers; all others are standby.
class PlacementPolicy {
public:
  virtual ~PlacementPolicy() = default;

  /// Returns the placed VMs. VMs that pass the same candidates get the same
  /// result.
  virtual std::set<common::VmId>
  choose(std::span<const PlacementCandidate> Serving,
         common::MonotonicTime Now) = 0;
};

} // namespace acaciacross::routing

#endif
