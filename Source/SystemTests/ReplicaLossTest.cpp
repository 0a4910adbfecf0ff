#include "SystemTests/SystemTest.h"

#include <algorithm>

namespace acaciacross::systemtests {

class ReplicaLossTest : public SystemTest {
protected:
  // Shards with an execution that ended for the request.
  std::set<std::uint32_t> executedShards(const std::string &RequestId) const {
    std::set<std::uint32_t> Shards;
    for (const RecordedExecution &Each : this->Running->record(RequestId))
      if (Each.Finished && !Each.Cancelled)
        Shards.insert(Each.Shard);
    return Shards;
  }

  void expectTrueCoverage(const std::string &RequestId,
                          const QueryAnswer &Answer) const {
    const double Shards = this->Running->plan().CrewShards;
    const auto Executed = this->executedShards(RequestId);
    EXPECT_EQ(Answer.Answered, Executed) << Answer.Reply.Body;
    EXPECT_DOUBLE_EQ(Answer.Coverage,
                     static_cast<double>(Executed.size()) / Shards);
    EXPECT_EQ(Answer.Answered.size() + Answer.Missing.size(), Shards);
  }

  static void kill(SearcherHandle &Searcher) { Searcher.Process.reset(); }
};

// Guards against a lost searcher that makes answers incomplete although its
// shard has another replica, and against coverage that was not executed.
TEST_F(ReplicaLossTest, QueriesAfterOneReplicaIsKilledStateExecutedCoverage) {
  this->deploy();
  this->warmUp();
  kill(*this->Running->replicas("crew", 1).front());
  constexpr int Queries = 40;
  int Complete = 0;
  for (int I = 0; I < Queries; ++I) {
    const std::string Id = "after-kill-" + std::to_string(I);
    const QueryAnswer Answer = this->vm(I % 3).query(Id, "plots");
    ASSERT_TRUE(Answer.Outcome == "complete" || Answer.Outcome == "partial")
        << Answer.Reply.Body << Answer.Reply.Problem;
    Complete += Answer.Outcome == "complete" ? 1 : 0;
    this->expectTrueCoverage(Id, Answer);
    EXPECT_EQ(Answer.Outcome == "complete", Answer.Missing.empty());
  }
  // The refused connection shows that nothing was sent, so that the attempt is
  // replaced without budget.
  EXPECT_EQ(Complete, Queries);
}

// Guards against a lost shard that is not reported, or reported as coverage.
TEST_F(ReplicaLossTest,
       AllReplicasOfAShardKilledLeavesExactlyThatShardMissing) {
  this->deploy();
  this->warmUp();
  for (SearcherHandle *Each : this->Running->replicas("crew", 2))
    kill(*Each);
  for (int I = 0; I < 9; ++I) {
    const std::string Id = "shard-lost-" + std::to_string(I);
    const QueryAnswer Answer = this->vm(I % 3).query(Id, "plots");
    EXPECT_EQ(Answer.Outcome, "partial") << Answer.Reply.Body;
    EXPECT_EQ(Answer.Missing, std::set<std::uint32_t>{2});
    EXPECT_DOUBLE_EQ(Answer.Coverage, 0.75);
    this->expectTrueCoverage(Id, Answer);
  }
}

} // namespace acaciacross::systemtests
