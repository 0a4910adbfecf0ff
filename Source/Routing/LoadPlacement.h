#ifndef ACACIACROSS_ROUTING_LOADPLACEMENT_H
#define ACACIACROSS_ROUTING_LOADPLACEMENT_H

#include "Common/SlidingMaximum.h"
#include "Routing/PlacementRule.h"

#include <chrono>

namespace acaciacross::routing {

/// Places callers on the largest VMs, spread over failure domains, as many as
/// the load needs. Answers the load of a fleet that is large for its searchers:
/// spread over all VMs, each would use most searchers too seldom to keep a
/// connection, and together they would exceed the searchers' limits.
class LoadPlacement final : public PlacementRule {
public:
  std::set<common::VmId> choose(std::span<const PlacementCandidate> Serving,
                                common::MonotonicTime Now) override;

private:
  /// Milli-cores that the load needs, held for a while after a peak.
  double needed(std::span<const PlacementCandidate> Serving,
                common::MonotonicTime Now);

  // A VM that leaves the set gives up its connections, so the set shrinks only
  // when a lower load has lasted.
  static constexpr std::chrono::seconds HoldTime{10};

  common::SlidingMaximum<double> Recent{HoldTime};
};

} // namespace acaciacross::routing

#endif
