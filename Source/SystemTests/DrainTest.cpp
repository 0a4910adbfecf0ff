#include "SystemTests/CallerPool.h"
#include "SystemTests/HttpCaller.h"
#include "SystemTests/SystemTest.h"
#include "SystemTests/Waiting.h"

#include <thread>

namespace acaciacross::systemtests {

class DrainTest : public SystemTest {
protected:
  // Every search that reached the searcher, those that were shed included.
  static std::uint64_t attempts(const SearcherHandle &Searcher) {
    const HttpReply Reply =
        HttpCaller::call("GET", Searcher.Control + "/control/counters");
    EXPECT_EQ(Reply.Status, 200);
    return static_cast<std::uint64_t>(
        json::JsonNode::parse(Reply.Body)["searchers"]
            .element(0)["attempts"]
            .number());
  }

  // The bound of the design page.
  static constexpr std::chrono::seconds DrainBound{3};
};

// Guards against a leaving searcher that gets new work from a VM that learns of
// the drain late or trusts the platform's list, which says "live" throughout.
TEST_F(DrainTest, LeavingSearcherGetsNoAttemptThreeSecondsAfterTheFirstSign) {
  DeploymentPlan Plan;
  Plan.CrewReplicas = 3;
  this->deploy(Plan);
  const SearcherHandle &Leaving = *this->Running->replicas("crew", 0).front();
  CallerPool Pool(6, std::chrono::milliseconds(10), this->vm(0).addresses());
  ASSERT_TRUE(waitUntil(std::chrono::seconds(10),
                        [&] { return attempts(Leaving) >= 30; }));
  Leaving.setFault("drain", "1");
  std::this_thread::sleep_for(DrainBound);
  const std::uint64_t AtBound = attempts(Leaving);
  const std::uint64_t QueriesAtBound = Pool.tally().queries();
  std::this_thread::sleep_for(std::chrono::seconds(8));
  EXPECT_EQ(attempts(Leaving), AtBound);
  const CallerTally Tally = Pool.stop();
  EXPECT_GT(Tally.queries(), QueriesAtBound + 100);
  EXPECT_EQ(Tally.Sent.size(), 3U);
  EXPECT_EQ(Tally.Outcomes.at("complete"), Tally.queries()) << Tally.text();
  EXPECT_EQ(attempts(Leaving), AtBound);
}

} // namespace acaciacross::systemtests
