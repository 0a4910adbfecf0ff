#include "Query/QueryExecution.h"

#include "Common/SeededRandom.h"
#include "Limits/ExtraLoadBudget.h"
#include "Routing/PowerOfTwoSelector.h"
#include "TestSupport/FixedHedgePolicy.h"
#include "TestSupport/ScriptedPort.h"

#include <gtest/gtest.h>

namespace acaciacross::query {

using std::chrono::milliseconds;

class QueryExecutionTest : public testing::Test {
protected:
  void SetUp() override {
    for (std::uint32_t I = 0; I < 3; ++I) {
      this->View->Searchers.emplace_back();
      this->View->Searchers.back().Index = common::SearcherIndex(I);
      this->View->Searchers.back().ConnectionQuota = 4;
    }
    for (const char *Name : {"new", "old"}) {
      SnapshotView Map{common::SnapshotId(Name), {}};
      Map.Shards.push_back({common::ShardId(0), {0, 9}, 10, {0, 1, 2}});
      this->View->Snapshots.push_back(Map);
    }
    this->Selector.updateView(*this->View);
    for (int I = 0; I < 100; ++I)
      this->Budget.onFirstAttempt();
    this->Request.Deadline = this->Now + milliseconds(100);
    this->Request.LatencyTarget = this->Now + milliseconds(50);
    this->Query.emplace(this->Request, this->View,
                        QueryDependencies{this->Port, this->Selector,
                                          this->Hedging, this->Budget,
                                          this->Ids});
    this->Query->start(this->Now);
  }

  /// Ends the newest attempt.
  void end(AttemptStatus Status) {
    AttemptResult Result;
    Result.Attempt = this->Port.Started.back().Id;
    Result.Status = Status;
    this->Query->onAttemptEnded(Result, this->Now);
  }

  common::MonotonicTime Now{std::chrono::seconds(10)};
  common::SeededRandom Random{1};
  testsupport::ScriptedPort Port;
  routing::PowerOfTwoSelector Selector{Random};
  testsupport::FixedHedgePolicy Hedging{std::nullopt};
  limits::ExtraLoadBudget Budget{0.2, 20};
  AttemptIdSource Ids{common::Incarnation(7), 1};
  std::shared_ptr<ServiceView> View = std::make_shared<ServiceView>();
  QueryRequest Request;
  std::optional<QueryExecution> Query;
};

// During a rolling index change one replica lacks the snapshot while the others
// are busy; a restart then would ask every shard again under overload.
TEST_F(QueryExecutionTest, OneReplicaWithoutTheSnapshotAndBusyOthersNoRestart) {
  this->end(AttemptStatus::SnapshotGone);
  this->end(AttemptStatus::Shed);
  this->end(AttemptStatus::Shed);
  EXPECT_EQ(this->Query->statistics().Restarts, 0U);
  this->Query->onTimer(this->Now + milliseconds(5));
  EXPECT_EQ(this->Port.Started.back().Snapshot, common::SnapshotId("new"));
  EXPECT_EQ(this->Port.Started.size(), 4U);
}

TEST_F(QueryExecutionTest, NoReplicaWithTheSnapshotRestartsOnTheOther) {
  for (int I = 0; I < 3; ++I)
    this->end(AttemptStatus::SnapshotGone);
  EXPECT_EQ(this->Query->statistics().Restarts, 1U);
  EXPECT_EQ(this->Port.Started.back().Snapshot, common::SnapshotId("old"));
}

// A searcher whose clock is ahead answers 504 to everything; the shard would be
// missing from every answer.
TEST_F(QueryExecutionTest, ExpiredAtTheSearcherWithTimeLeftAsksAnotherReplica) {
  this->end(AttemptStatus::ExpiredBeforeStart);
  ASSERT_EQ(this->Port.Started.size(), 2U);
  EXPECT_NE(this->Port.Started[0].Searcher, this->Port.Started[1].Searcher);
}

// A process that resumes after a pause would send work nobody waits for.
TEST_F(QueryExecutionTest, TimerAfterTheDeadlineSendsNothing) {
  this->end(AttemptStatus::Shed);
  this->end(AttemptStatus::Shed);
  this->end(AttemptStatus::Shed);
  this->Query->onTimer(this->Now + milliseconds(100));
  EXPECT_EQ(this->Port.Started.size(), 3U);
  EXPECT_TRUE(std::holds_alternative<Refusal>(this->Query->outcome()));
}

} // namespace acaciacross::query
