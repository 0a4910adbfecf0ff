#include "Common/RegionMap.h"

#include <gtest/gtest.h>

#include <vector>

namespace acaciacross::common {

class RegionMapTest : public testing::Test {
protected:
  const RegionMap Regions{{{"z1", "r1"}, {"z2", "r1"}, {"z3", "r2"}}};
};

TEST_F(RegionMapTest, FailureDomainLiesInItsRegionOnly) {
  const std::vector<std::string> First{"r1"};
  EXPECT_TRUE(this->Regions.isIn("z2", First));
  EXPECT_FALSE(this->Regions.isIn("z3", First));
}

// Its region could be any.
TEST_F(RegionMapTest, UnknownFailureDomainLiesInNoRegion) {
  const std::vector<std::string> All{"r1", "r2", ""};
  EXPECT_FALSE(this->Regions.isIn("z9", All));
  EXPECT_EQ(this->Regions.regionOf("z9"), "");
}

TEST_F(RegionMapTest, SeveralRegionsAreCounted) {
  EXPECT_TRUE(this->Regions.hasSeveralRegions());
  EXPECT_FALSE(RegionMap({{"z1", "r1"}, {"z2", "r1"}}).hasSeveralRegions());
}

} // namespace acaciacross::common
