#include "Common/RegionMap.h"

#include <algorithm>
#include <utility>

namespace acaciacross::common {

RegionMap::RegionMap(std::map<std::string, std::string> RegionByDomain)
    : RegionByDomain(std::move(RegionByDomain)) {
  for (const auto &[Domain, Region] : this->RegionByDomain)
    this->Regions.insert(Region);
}

const std::string &RegionMap::regionOf(const std::string &FailureDomain) const {
  static const std::string Unknown;
  const auto Found = this->RegionByDomain.find(FailureDomain);
  return Found == this->RegionByDomain.end() ? Unknown : Found->second;
}

bool RegionMap::isIn(const std::string &FailureDomain,
                     std::span<const std::string> Regions) const {
  const std::string &Region = this->regionOf(FailureDomain);
  return !Region.empty() && std::ranges::count(Regions, Region) > 0;
}

bool RegionMap::hasSeveralRegions() const { return this->Regions.size() > 1; }

} // namespace acaciacross::common
