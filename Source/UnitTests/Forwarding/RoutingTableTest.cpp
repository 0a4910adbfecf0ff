#include "Forwarding/RoutingTable.h"

#include <gtest/gtest.h>

namespace acaciacross::forwarding {

class RoutingTableTest : public testing::Test {
protected:
  static Route route(const std::string &Name, const std::string &Host,
                     const std::string &Prefix) {
    Route NewRoute;
    NewRoute.Name = Name;
    NewRoute.Host = Host;
    NewRoute.Prefix = Prefix;
    return NewRoute;
  }

  std::string matchedName(std::string_view Host,
                          std::string_view Target) const {
    const Route *Found = this->Table.match(Host, Target);
    return Found == nullptr ? "" : Found->Name;
  }

  RoutingTable Table{7,
                     {route("short", "a.example", "/x/"),
                      route("long", "a.example", "/x/y/"),
                      route("all", "b.example", "/")},
                     {{common::ServiceName("s"), 26}},
                     CallerLimits()};
};

TEST_F(RoutingTableTest, LongestPrefixOfTheHostMatches) {
  EXPECT_EQ(this->matchedName("a.example", "/x/y/z"), "long");
  EXPECT_EQ(this->matchedName("a.example", "/x/yy/z"), "short");
  EXPECT_EQ(this->matchedName("b.example", "/x/y/z"), "all");
}

TEST_F(RoutingTableTest, HomesOfAHostAreThoseThatAllItsRoutesAllow) {
  using Homes = std::vector<std::string>;
  Route First = route("one", "A.example", "/x/");
  First.AllowedRegions = {"r1", "r2"};
  Route Second = route("two", "a.example", "/y/");
  Second.AllowedRegions = {"r2", "r3"};
  const RoutingTable WithHomes(8,
                               {First, route("free", "a.example", "/z/"),
                                Second, route("all", "b.example", "/")},
                               {}, CallerLimits());
  EXPECT_EQ(WithHomes.homesOf("a.EXAMPLE:80"), Homes{"r2"});
  EXPECT_EQ(WithHomes.homesOf("b.example"), std::nullopt);
  EXPECT_EQ(WithHomes.homesOf("c.example"), std::nullopt);
}

TEST_F(RoutingTableTest, UnknownHostOrPathHasNoRoute) {
  EXPECT_EQ(this->matchedName("c.example", "/x/"), "");
  EXPECT_EQ(this->matchedName("a.example", "/x"), "");
  EXPECT_EQ(this->matchedName("a.example", "nothing"), "");
}

TEST_F(RoutingTableTest, QueryAndPortAreNotPartOfTheMatch) {
  EXPECT_EQ(this->matchedName("A.Example:8080", "/x/1?back=/x/y/"), "short");
}

TEST_F(RoutingTableTest, OnlyPublishedServicesHaveAConnectionLimit) {
  ASSERT_NE(this->Table.maxConnections(common::ServiceName("s")), nullptr);
  EXPECT_EQ(*this->Table.maxConnections(common::ServiceName("s")), 26U);
  EXPECT_EQ(this->Table.maxConnections(common::ServiceName("t")), nullptr);
}

// 9 of 10 shards meet a coverage of 0.9, although 0.9 x 10 is not exactly 9 in
// binary.
TEST_F(RoutingTableTest, MinCoverageCountsWholeShards) {
  GatherSettings Settings;
  Settings.Shards.resize(10);
  Settings.MinCoverage = 0.9;
  EXPECT_EQ(Settings.minShards(), 9U);
  Settings.MinCoverage = 0.89;
  EXPECT_EQ(Settings.minShards(), 9U);
  Settings.MinCoverage = 0.0;
  EXPECT_EQ(Settings.minShards(), 1U);
}

} // namespace acaciacross::forwarding
