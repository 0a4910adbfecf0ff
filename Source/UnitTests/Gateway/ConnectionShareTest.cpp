#include "Gateway/ConnectionShare.h"

#include <gtest/gtest.h>

namespace acaciacross::gateway {

class ConnectionShareTest : public testing::Test {
protected:
  std::size_t share(unsigned PublishedLimit, unsigned Slots, unsigned Vms) {
    return this->share(PublishedLimit, Slots, {Vms, Vms, 0, true});
  }

  std::size_t share(unsigned PublishedLimit, unsigned Slots,
                    const forwarding::FleetShare &Share) {
    forwarding::ServiceRegistry Registry{forwarding::RetryBudgetSettings()};
    Registry.setTable(std::make_shared<const forwarding::RoutingTable>(
        1, std::vector<forwarding::Route>(),
        std::map{std::pair{common::ServiceName("s"), PublishedLimit}},
        forwarding::CallerLimits()));
    Registry.setFleet(Share);
    forwarding::SearcherEntry Searcher;
    Searcher.Service = common::ServiceName("s");
    Searcher.Slots = Slots;
    return ConnectionShare::forSearcher(Registry, Searcher);
  }
};

// The searcher resets connections beyond its limit.
TEST_F(ConnectionShareTest, SharesOfAllVmsStayBelowTheLimitOfTheSearcher) {
  for (unsigned Vms = 1; Vms <= 20; ++Vms)
    EXPECT_LE(Vms * this->share(40, 100, Vms), 40U) << Vms;
}

// With larger shares the queue of a searcher grows until it rejects requests:
// 14,800 rejections in a burst of twice the load.
TEST_F(ConnectionShareTest, SharesOfAllVmsStayBelowWhatTheSearcherQueues) {
  EXPECT_LE(2 * this->share(1'000, 2, 2), 10U);
}

// After a power failure a searcher counts the connections of the previous run
// together with the new ones.
TEST_F(ConnectionShareTest, PlacedVmsOfTwoRunsStayBelowTheLimit) {
  for (unsigned Placed = 2; Placed <= 16; ++Placed) {
    const std::size_t Share =
        this->share(66, 100, {69, Placed, 69 - Placed, true});
    EXPECT_LE(std::size_t{2} * Placed * Share, 66U) << Placed;
  }
}

// Standby VMs receive only single requests.
TEST_F(ConnectionShareTest, StandbyVmHasOneConnection) {
  EXPECT_EQ(this->share(66, 100, {69, 8, 61, false}), 1U);
}

// With a share of 0 a VM of a large fleet could not send at all.
TEST_F(ConnectionShareTest, ShareIsAtLeastOneConnection) {
  EXPECT_EQ(this->share(26, 2, 10'000), 1U);
}

} // namespace acaciacross::gateway
