#include "Gateway/ConnectionShare.h"

#include <gtest/gtest.h>

namespace acaciacross::gateway {

class ConnectionShareTest : public testing::Test {
protected:
  std::size_t share(unsigned Accepted, unsigned Slots, unsigned Vms) {
    forwarding::ServiceBook Book{forwarding::RepeatBudgetSettings()};
    Book.setTable(std::make_shared<const forwarding::RoutingTable>(
        1, std::vector<forwarding::Route>(),
        std::map{std::pair{common::ServiceName("s"), Accepted}},
        forwarding::CallerLimits()));
    Book.setFleet({Vms, Vms, 0, true});
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

TEST_F(ConnectionShareTest, EachVmHasOneConnectionAtTheLeast) {
  EXPECT_EQ(this->share(26, 2, 10'000), 1U);
}

} // namespace acaciacross::gateway
