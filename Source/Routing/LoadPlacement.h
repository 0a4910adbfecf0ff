#ifndef ACACIACROSS_ROUTING_LOADPLACEMENT_H
#define ACACIACROSS_ROUTING_LOADPLACEMENT_H

#include "Common/SlidingMaximum.h"
#include "Routing/PlacementPolicy.h"

#include <chrono>

namespace acaciacross::routing {

/// Places callers on as many VMs as the load requires: the largest ones, spread
/// over failure domains. If a large fleet used all its VMs, each VM would use
/// most searchers too seldom to keep a connection open, and the fleet as a
/// whole would exceed the searchers' connection limits.
class LoadPlacement final : public PlacementPolicy {
public:
  std::set<common::VmId> choose(std::span<const PlacementCandidate> Serving,
                                common::MonotonicTime Now) override;

private:
  /// Returns the capacity in milli-cores that the highest load within
  /// DemandWindow requires.
  double requiredMilliCores(std::span<const PlacementCandidate> Serving,
                            common::MonotonicTime Now);

  // A VM that leaves the placed set closes its connections, so the set shrinks
  // only after the load has stayed lower for this time.
  static constexpr std::chrono::seconds DemandWindow{10};

  common::SlidingMaximum<double> Demand{DemandWindow};
};

} // namespace acaciacross::routing

#endif
