#include "SystemTests/SystemTest.h"

#include <algorithm>

namespace acaciacross::systemtests {

class ReplicaLossTest : public SystemTest {
protected:
  // Returns the shards with a finished execution of the request.
  std::set<std::uint32_t> executedShards(const std::string &RequestId) const {
    std::set<std::uint32_t> Shards;
    for (const RecordedExecution &Execution :
         this->ActiveDeployment->record(RequestId))
      if (Execution.Finished && !Execution.Cancelled)
        Shards.insert(Execution.Shard);
    return Shards;
  }

  void expectExecutedCoverage(const std::string &RequestId,
                              const QueryAnswer &Answer) const {
    const double Shards = this->ActiveDeployment->plan().CrewShards;
    const auto Executed = this->executedShards(RequestId);
    EXPECT_EQ(Answer.AnsweredShards, Executed) << Answer.Reply.Body;
    EXPECT_DOUBLE_EQ(Answer.Coverage,
                     static_cast<double>(Executed.size()) / Shards);
    EXPECT_EQ(Answer.AnsweredShards.size() + Answer.MissingShards.size(),
              Shards);
  }

  static void kill(SearcherHandle &Searcher) { Searcher.Process.reset(); }
};

// Guards against incomplete answers although the shard of a lost searcher has
// another replica, and against coverage that was reported but not executed.
TEST_F(ReplicaLossTest, QueriesAfterOneReplicaIsKilledStateExecutedCoverage) {
  this->deploy();
  this->warmUp();
  kill(*this->ActiveDeployment->replicas("crew", 1).front());
  constexpr int Queries = 40;
  int Complete = 0;
  for (int I = 0; I < Queries; ++I) {
    const std::string Id = "after-kill-" + std::to_string(I);
    const QueryAnswer Answer = this->vm(I % 3).query(Id, "plots");
    ASSERT_TRUE(Answer.Outcome == "complete" || Answer.Outcome == "partial")
        << Answer.Reply.Body << Answer.Reply.Error;
    Complete += Answer.Outcome == "complete" ? 1 : 0;
    this->expectExecutedCoverage(Id, Answer);
    EXPECT_EQ(Answer.Outcome == "complete", Answer.MissingShards.empty());
  }
  // A refused connection proves that nothing was sent, so the attempt is
  // replaced without using the budget.
  EXPECT_EQ(Complete, Queries);
}

// Guards against a lost shard that is not reported as missing or that counts as
// covered.
TEST_F(ReplicaLossTest,
       AllReplicasOfAShardKilledLeavesExactlyThatShardMissing) {
  this->deploy();
  this->warmUp();
  for (SearcherHandle *Searcher : this->ActiveDeployment->replicas("crew", 2))
    kill(*Searcher);
  for (int I = 0; I < 9; ++I) {
    const std::string Id = "shard-lost-" + std::to_string(I);
    const QueryAnswer Answer = this->vm(I % 3).query(Id, "plots");
    EXPECT_EQ(Answer.Outcome, "partial") << Answer.Reply.Body;
    EXPECT_EQ(Answer.MissingShards, std::set<std::uint32_t>{2});
    EXPECT_DOUBLE_EQ(Answer.Coverage, 0.75);
    this->expectExecutedCoverage(Id, Answer);
  }
}

} // namespace acaciacross::systemtests
