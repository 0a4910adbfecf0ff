#include "SystemTests/CallerPool.h"
#include "SystemTests/HttpCaller.h"
#include "SystemTests/SystemTest.h"
#include "SystemTests/Waiting.h"

#include <thread>

namespace acaciacross::systemtests {

class DrainTest : public SystemTest {
protected:
  // Counts every search that reached the searcher, including shed ones.
  static std::uint64_t attempts(const SearcherHandle &Searcher) {
    const HttpReply Reply =
        HttpCaller::call("GET", Searcher.ControlAddress + "/control/counters");
    EXPECT_EQ(Reply.Status, 200);
    return static_cast<std::uint64_t>(
        json::JsonNode::parse(Reply.Body)["searchers"]
            .element(0)["attempts"]
            .number());
  }

  // The bound that the design page states.
  static constexpr std::chrono::seconds DrainBound{3};
};

// Guards against new work for a draining searcher, from a VM that learns of the
// drain late or trusts the platform's list, which shows it as "live"
// throughout.
TEST_F(DrainTest, LeavingSearcherGetsNoAttemptThreeSecondsAfterTheFirstSign) {
  DeploymentPlan Plan;
  Plan.CrewReplicas = 3;
  this->deploy(Plan);
  const SearcherHandle &Leaving =
      *this->ActiveDeployment->replicas("crew", 0).front();
  CallerPool Pool(6, std::chrono::milliseconds(10), this->vm(0).addresses());
  ASSERT_TRUE(waitUntil(std::chrono::seconds(10),
                        [&] { return attempts(Leaving) >= 30; }));
  Leaving.setFault("drain", "1");
  std::this_thread::sleep_for(DrainBound);
  const std::uint64_t AttemptsAtBound = attempts(Leaving);
  const std::uint64_t QueriesAtBound = Pool.counts().queries();
  std::this_thread::sleep_for(std::chrono::seconds(8));
  EXPECT_EQ(attempts(Leaving), AttemptsAtBound);
  const CallerCounts Counts = Pool.stop();
  EXPECT_GT(Counts.queries(), QueriesAtBound + 100);
  EXPECT_EQ(Counts.QueriesByAddress.size(), 3U);
  EXPECT_EQ(Counts.Outcomes.at("complete"), Counts.queries()) << Counts.text();
  EXPECT_EQ(attempts(Leaving), AttemptsAtBound);
}

} // namespace acaciacross::systemtests
