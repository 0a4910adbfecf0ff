#ifndef ACACIACROSS_FORWARDING_FLEETSHARE_H
#define ACACIACROSS_FORWARDING_FLEETSHARE_H

#include <limits>

namespace acaciacross::forwarding {

/// Size of the fleet and this VM's role in it. Determines this VM's share of
/// limits that hold for the whole fleet.
struct FleetShare {
  /// Number of VMs that may send to searchers, including this one. The initial
  /// maximum makes the shares minimal until the fleet is known.
  unsigned VmCount = std::numeric_limits<unsigned>::max();
  /// Number of placed VMs, which callers are directed to.
  unsigned PlacedCount = 1;
  /// Number of VMs that serve requests but are not published to callers.
  unsigned StandbyCount = 0;
  /// Whether this VM is placed.
  bool IsPlaced = true;

  bool isKnown() const {
    return this->VmCount != std::numeric_limits<unsigned>::max();
  }
  /// This VM's share, 0 to 1, of a limit that holds for the whole fleet.
  double shareOfFleet() const;
};

} // namespace acaciacross::forwarding

#endif
