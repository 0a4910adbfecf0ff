#include "Routing/HomeRegionFilter.h"

namespace acaciacross::routing {

HomeRegionFilter::HomeRegionFilter(const common::RegionMap &Regions)
    : Regions(Regions) {}

// Not even a caller that would find no VM is named one elsewhere: the bodies of
// its requests would leave the regions that its operator allows.
bool HomeRegionFilter::allows(const AddressCandidate &Vm,
                              std::span<const std::string> Homes,
                              const AddressQuery &Query) const {
  if (this->Regions.isIn(Vm.FailureDomain, Homes))
    return true;
  const std::string &CallerRegion =
      Query.Region.empty() ? this->Regions.regionOf(Query.FailureDomain)
                           : Query.Region;
  return this->Regions.isIn(Vm.FailureDomain, {&CallerRegion, 1});
}

} // namespace acaciacross::routing
