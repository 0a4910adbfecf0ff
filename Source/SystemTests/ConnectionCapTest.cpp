#include "SystemTests/CallerPool.h"
#include "SystemTests/HttpCaller.h"
#include "SystemTests/SystemTest.h"
#include "SystemTests/Waiting.h"

#include <csignal>

namespace acaciacross::systemtests {

class ConnectionCapTest : public SystemTest {
protected:
  static double counter(const SearcherHandle &Searcher, const char *Name) {
    const HttpReply Reply =
        HttpCaller::call("GET", Searcher.Control + "/control/counters");
    EXPECT_EQ(Reply.Status, 200);
    return json::JsonNode::parse(Reply.Body)["searchers"]
        .element(0)[Name]
        .number();
  }

  // Starts the replacement before the old VM leaves, so that one VM more than
  // usual holds connections.
  void replace(std::size_t Index) {
    EntryVm &Replacement = this->Running->addVm();
    ASSERT_TRUE(waitUntil(std::chrono::seconds(10),
                          [&] { return Replacement.fleet().size() == 4; }));
    this->vm(Index).Process->signal(SIGTERM);
    EXPECT_EQ(this->vm(Index).Process->waitForExit(std::chrono::seconds(15)),
              0);
    ASSERT_TRUE(waitUntil(std::chrono::seconds(5),
                          [&] { return Replacement.fleet().size() == 3; }));
  }
};

// Guards against quotas that add up to more than the cap of a searcher while
// old and new VMs run side by side.
TEST_F(ConnectionCapTest, AllVmsReplacedUnderLoadStayWithinTheCap) {
  DeploymentPlan Plan;
  Plan.MaxEntryVms = 4;
  Plan.MaxConnections = 12;
  Plan.CrewShards = 2;
  Plan.ServiceTime = std::chrono::milliseconds(20);
  this->deploy(Plan);
  CallerPool Pool(40, std::chrono::milliseconds(0), this->vm(0).addresses());
  for (std::size_t Index = 0; Index < 3; ++Index)
    this->replace(Index);
  const CallerTally Tally = Pool.stop();
  EXPECT_TRUE(Tally.Problems.empty()) << Tally.text();
  EXPECT_EQ(Tally.Sent.size(), 6U);
  double Highest = 0;
  for (const SearcherHandle *Each : this->Running->replicas("crew", 0)) {
    EXPECT_LE(counter(*Each, "connections_peak"), Plan.MaxConnections);
    EXPECT_EQ(counter(*Each, "connections_refused"), 0.0);
    Highest = std::max(Highest, counter(*Each, "connections_peak"));
  }
  this->RecordProperty("connections_peak", static_cast<int>(Highest));
  // A load that needs few connections would show nothing.
  EXPECT_GT(Highest, Plan.MaxConnections / 2.0);
}

} // namespace acaciacross::systemtests
