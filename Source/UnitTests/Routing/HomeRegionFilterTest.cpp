#include "Routing/HomeRegionFilter.h"

#include <gtest/gtest.h>

namespace acaciacross::routing {

class HomeRegionFilterTest : public testing::Test {
protected:
  /// The failure domains of the VMs that may be named.
  std::string allowed(const std::vector<std::string> &Homes,
                      const AddressQuery &Query) const {
    std::string Domains;
    for (const char *Domain : {"z1", "z2", "z3", "z9"}) {
      AddressCandidate Vm;
      Vm.FailureDomain = Domain;
      if (this->Filter.allows(Vm, Homes, Query))
        Domains += Domain;
    }
    return Domains;
  }

  const common::RegionMap Regions{{{"z1", "r1"}, {"z2", "r2"}, {"z3", "r3"}}};
  const HomeRegionFilter Filter{this->Regions};
};

TEST_F(HomeRegionFilterTest, VmsOfTheHomesAndOfTheCallersRegionAreAllowed) {
  EXPECT_EQ(this->allowed({"r2"}, {"h", "z1", "r1"}), "z1z2");
  EXPECT_EQ(this->allowed({"r2"}, {"h", "z2", "r2"}), "z2");
}

// Without a common home of all routes of the host, only the region of the
// caller is left.
TEST_F(HomeRegionFilterTest, WithoutHomesOnlyTheCallersRegionIsAllowed) {
  EXPECT_EQ(this->allowed({}, {"h", "z3", "r3"}), "z3");
  EXPECT_EQ(this->allowed({}, {"h", "", ""}), "");
}

TEST_F(HomeRegionFilterTest, RegionOfTheCallerIsThatOfItsDomainIfItNamesNone) {
  EXPECT_EQ(this->allowed({"r2"}, {"h", "z3", ""}), "z2z3");
}

} // namespace acaciacross::routing
