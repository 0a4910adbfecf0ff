#ifndef ACACIACROSS_FORWARDING_FLEETPART_H
#define ACACIACROSS_FORWARDING_FLEETPART_H

#include <limits>

namespace acaciacross::forwarding {

/// This VM's place in the fleet, which decides its part of what all VMs share.
struct FleetPart {
  /// VMs that may be sending to searchers, with this one. Before the fleet is
  /// known the shares of this VM are as small as can be.
  unsigned VmCount = std::numeric_limits<unsigned>::max();
  /// VMs that take callers.
  unsigned PlacedCount = 1;
  /// VMs that serve but are not named to callers.
  unsigned StandbyCount = 0;
  /// Whether this VM takes callers.
  bool IsPlaced = true;

  bool isKnown() const {
    return this->VmCount != std::numeric_limits<unsigned>::max();
  }
  /// This VM's part, 0 to 1, of what is counted for the whole fleet.
  double ofFleet() const;
};

} // namespace acaciacross::forwarding

#endif
