#ifndef ACACIACROSS_ROUTING_PLACEMENTCANDIDATE_H
#define ACACIACROSS_ROUTING_PLACEMENTCANDIDATE_H

#include "Common/Identifiers.h"

#include <string>

namespace acaciacross::routing {

/// An entry VM that serves and may take callers.
struct PlacementCandidate {
  common::VmId Vm;
  std::string FailureDomain;
  /// Processor that the VM may use, in thousandths of a core; 0 when unknown.
  unsigned CapacityMilliCores = 0;
  /// Share of it that was in use a moment ago, in thousandths.
  unsigned BusyPerMille = 0;
};

} // namespace acaciacross::routing

#endif
