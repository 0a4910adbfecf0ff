#include "Forwarding/FleetShare.h"

#include <algorithm>

namespace acaciacross::forwarding {

namespace {

// Placed VMs together get this share of the fleet-wide limits, standby VMs the
// rest. During a rolling restart or a network partition, other VMs can become
// placed within one window. Two such sets of placed VMs together must not
// exceed the whole.
constexpr double PlacedShare = 0.5;

} // namespace

double FleetShare::shareOfFleet() const {
  if (this->StandbyCount == 0)
    return 1.0 / std::max(1U, this->VmCount);
  if (this->IsPlaced)
    return PlacedShare / std::max(1U, this->PlacedCount);
  // Lost VMs may already have used their share in the current window.
  return (1.0 - PlacedShare) / std::max(this->StandbyCount, this->VmCount);
}

} // namespace acaciacross::forwarding
