#include "Gateway/ConnectionShare.h"

#include <gtest/gtest.h>

namespace acaciacross::gateway {

class ConnectionShareTest : public testing::Test {
protected:
  std::size_t share(unsigned Accepted, unsigned Slots, unsigned Vms) {
    return this->share(Accepted, Slots, {Vms, Vms, 0, true});
  }

  std::size_t share(unsigned Accepted, unsigned Slots,
                    const forwarding::FleetPart &Part) {
    forwarding::ServiceBook Book{forwarding::RepeatBudgetSettings()};
    Book.setTable(std::make_shared<const forwarding::RoutingTable>(
        1, std::vector<forwarding::Route>(),
        std::map{std::pair{common::ServiceName("s"), Accepted}},
        forwarding::CallerLimits()));
    Book.setFleet(Part);
    forwarding::SearcherEntry Searcher;
    Searcher.Service = common::ServiceName("s");
    Searcher.Slots = Slots;
    return ConnectionShare::of(Book, Searcher);
  }
};

TEST_F(ConnectionShareTest, SharesOfAllVmsStayBelowTheLimitOfTheSearcher) {
  for (unsigned Vms = 1; Vms <= 20; ++Vms)
    EXPECT_LE(Vms * this->share(40, 100, Vms), 40U) << Vms;
}

// More would lengthen queues until the searcher rejects: 14,800 rejections in
// a burst of twice the load.
TEST_F(ConnectionShareTest, SharesOfAllVmsStayBelowWhatTheSearcherQueues) {
  EXPECT_LE(2 * this->share(1'000, 2, 2), 10U);
}

// After a loss of power a searcher counts the connections of the run before
// together with the new ones.
TEST_F(ConnectionShareTest, PlacedVmsOfTwoRunsStayBelowTheLimit) {
  for (unsigned Placed = 2; Placed <= 16; ++Placed) {
    const std::size_t Each =
        this->share(66, 100, {69, Placed, 69 - Placed, true});
    EXPECT_LE(std::size_t{2} * Placed * Each, 66U) << Placed;
  }
}

TEST_F(ConnectionShareTest, VmThatStandsByHasOneConnection) {
  EXPECT_EQ(this->share(66, 100, {69, 8, 61, false}), 1U);
}

TEST_F(ConnectionShareTest, EachVmHasOneConnectionAtTheLeast) {
  EXPECT_EQ(this->share(26, 2, 10'000), 1U);
}

} // namespace acaciacross::gateway
