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
        HttpCaller::call("GET", Searcher.ControlAddress + "/control/counters");
    EXPECT_EQ(Reply.Status, 200);
    return json::JsonNode::parse(Reply.Body)["searchers"]
        .element(0)[Name]
        .number();
  }

  // Starts the replacement before the old VM stops, so that one more VM than
  // usual holds connections.
  void replace(std::size_t Index) {
    EntryVm &Replacement = this->ActiveDeployment->addVm();
    ASSERT_TRUE(waitUntil(std::chrono::seconds(10),
                          [&] { return Replacement.fleet().size() == 4; }));
    this->vm(Index).Process->signal(SIGTERM);
    EXPECT_EQ(this->vm(Index).Process->waitForExit(std::chrono::seconds(15)),
              0);
    ASSERT_TRUE(waitUntil(std::chrono::seconds(5),
                          [&] { return Replacement.fleet().size() == 3; }));
  }
};

// Guards against quotas whose sum exceeds the connection cap of a searcher
// while old and new VMs run at the same time.
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
  const CallerCounts Counts = Pool.stop();
  EXPECT_TRUE(Counts.Errors.empty()) << Counts.text();
  EXPECT_EQ(Counts.QueriesByAddress.size(), 6U);
  double Highest = 0;
  for (const SearcherHandle *Searcher :
       this->ActiveDeployment->replicas("crew", 0)) {
    EXPECT_LE(counter(*Searcher, "connections_peak"), Plan.MaxConnections);
    EXPECT_EQ(counter(*Searcher, "connections_refused"), 0.0);
    Highest = std::max(Highest, counter(*Searcher, "connections_peak"));
  }
  this->RecordProperty("connections_peak", static_cast<int>(Highest));
  // With a load that needs few connections the test could not fail.
  EXPECT_GT(Highest, Plan.MaxConnections / 2.0);
}

} // namespace acaciacross::systemtests
