#ifndef ACACIACROSS_ROUTING_HOMEREGIONFILTER_H
#define ACACIACROSS_ROUTING_HOMEREGIONFILTER_H

#include "Common/RegionMap.h"
#include "Routing/AddressCandidate.h"
#include "Routing/AddressQuery.h"

#include <span>
#include <string>
#include <vector>

namespace acaciacross::routing {

/// Decides which entry VMs may take the requests for a host whose routes have
/// homes: those in a home or in the region of the caller.
class HomeRegionFilter {
public:
  /// The regions must outlive the filter.
  explicit HomeRegionFilter(const common::RegionMap &Regions);

  /// Whether the VM may be named to the caller. Homes: the regions that the
  /// routes of the host allow.
  bool allows(const AddressCandidate &Vm, std::span<const std::string> Homes,
              const AddressQuery &Query) const;

private:
  const common::RegionMap &Regions;
};

} // namespace acaciacross::routing

#endif
