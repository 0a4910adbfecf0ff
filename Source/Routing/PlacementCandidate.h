#ifndef ACACIACROSS_ROUTING_PLACEMENTCANDIDATE_H
#define ACACIACROSS_ROUTING_PLACEMENTCANDIDATE_H

#include "Common/Identifiers.h"

#include <string>

namespace acaciacross::routing {

/// A serving entry VM that callers may be placed on.
struct PlacementCandidate {
  common::VmId Vm;
  std::string FailureDomain;
  /// CPU capacity of the VM in thousandths of a core; 0 when unknown.
  unsigned CapacityMilliCores = 0;
  /// Recent CPU utilization in thousandths of the capacity.
  unsigned BusyPerMille = 0;
};

} // namespace acaciacross::routing

#endif
