#ifndef ACACIACROSS_ROUTING_PLACEMENTRULE_H
#define ACACIACROSS_ROUTING_PLACEMENTRULE_H

#include "Common/Identifiers.h"
#include "Common/Time.h"
#include "Routing/PlacementCandidate.h"

#include <set>
#include <span>

namespace acaciacross::routing {

/// Chooses the entry VMs that take callers; the others stand by.
class PlacementRule {
public:
  virtual ~PlacementRule() = default;

  /// VMs that know the same candidates choose the same ones.
  virtual std::set<common::VmId>
  choose(std::span<const PlacementCandidate> Serving,
         common::MonotonicTime Now) = 0;
};

} // namespace acaciacross::routing

#endif
