#include "Forwarding/FleetPart.h"

#include <algorithm>

namespace acaciacross::forwarding {

namespace {

// Of what the fleet shares, the VMs that take callers have this part and those
// that stand by the rest. In a rolling stop, or when a network partition cuts
// the fleet in two, other VMs take the place of the placed ones within one
// window; two such sets together have no more than the whole.
constexpr double PlacedPart = 0.5;

} // namespace

double FleetPart::ofFleet() const {
  if (this->StandbyCount == 0)
    return 1.0 / std::max(1U, this->VmCount);
  if (this->IsPlaced)
    return PlacedPart / std::max(1U, this->PlacedCount);
  // Lost VMs may still have spent their part of the present window.
  return (1.0 - PlacedPart) / std::max(this->StandbyCount, this->VmCount);
}

} // namespace acaciacross::forwarding
