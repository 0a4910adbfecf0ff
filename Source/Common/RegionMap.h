#ifndef ACACIACROSS_COMMON_REGIONMAP_H
#define ACACIACROSS_COMMON_REGIONMAP_H

#include <map>
#include <set>
#include <span>
#include <string>

namespace acaciacross::common {

/// The region of each failure domain, as the settings of this VM name them.
class RegionMap {
public:
  RegionMap() = default;
  explicit RegionMap(std::map<std::string, std::string> RegionByDomain);

  /// Empty for an unknown failure domain.
  const std::string &regionOf(const std::string &FailureDomain) const;
  /// Whether the failure domain lies in one of the regions; false for an
  /// unknown failure domain.
  bool isIn(const std::string &FailureDomain,
            std::span<const std::string> Regions) const;
  /// Whether the failure domains lie in more than one region.
  bool hasSeveralRegions() const;

private:
  std::map<std::string, std::string> RegionByDomain;
  std::set<std::string> Regions;
};

} // namespace acaciacross::common

#endif
