#include "Query/QueryExecution.h"

#include "Common/SeededRandom.h"
#include "Limits/ExtraLoadBudget.h"
#include "Routing/PowerOfTwoSelector.h"
#include "TestSupport/FixedHedgePolicy.h"
#include "TestSupport/RecordingAttemptSender.h"

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
                        QueryDependencies{this->Sender, this->Selector,
                                          this->Hedging, this->Budget,
                                          this->Ids});
    this->Query->start(this->Now);
  }

  /// Ends the attempt that was started last.
  void endLastAttempt(AttemptStatus Status) {
    AttemptResult Result;
    Result.Attempt = this->Sender.Started.back().Id;
    Result.Status = Status;
    this->Query->onAttemptEnded(Result, this->Now);
  }

  common::MonotonicTime Now{std::chrono::seconds(10)};
  common::SeededRandom Random{1};
  testsupport::RecordingAttemptSender Sender;
  routing::PowerOfTwoSelector Selector{Random};
  testsupport::FixedHedgePolicy Hedging{std::nullopt};
  limits::ExtraLoadBudget Budget{0.2, 20};
  AttemptIdGenerator Ids{common::Incarnation(7), 1};
  std::shared_ptr<ServiceView> View = std::make_shared<ServiceView>();
  QueryRequest Request;
  std::optional<QueryExecution> Query;
};

// During a rolling snapshot change one replica may lack the snapshot while the
// others are busy. A restart would then ask every shard again under overload.
TEST_F(QueryExecutionTest,
       OneReplicaWithoutSnapshotAndOthersBusyDoesNotRestart) {
  this->endLastAttempt(AttemptStatus::SnapshotGone);
  this->endLastAttempt(AttemptStatus::Shed);
  this->endLastAttempt(AttemptStatus::Shed);
  EXPECT_EQ(this->Query->statistics().Restarts, 0U);
  this->Query->onTimer(this->Now + milliseconds(5));
  EXPECT_EQ(this->Sender.Started.back().Snapshot, common::SnapshotId("new"));
  EXPECT_EQ(this->Sender.Started.size(), 4U);
}

// Without a restart the query could not be answered although the service still
// has an older snapshot.
TEST_F(QueryExecutionTest, NoReplicaWithSnapshotRestartsOnOlderSnapshot) {
  for (int I = 0; I < 3; ++I)
    this->endLastAttempt(AttemptStatus::SnapshotGone);
  EXPECT_EQ(this->Query->statistics().Restarts, 1U);
  EXPECT_EQ(this->Sender.Started.back().Snapshot, common::SnapshotId("old"));
}

// A searcher whose clock is ahead answers every request with 504. Without
// another attempt its shard would be missing from every answer.
TEST_F(QueryExecutionTest, ExpiredAtSearcherBeforeDeadlineAsksAnotherReplica) {
  this->endLastAttempt(AttemptStatus::ExpiredBeforeStart);
  ASSERT_EQ(this->Sender.Started.size(), 2U);
  EXPECT_NE(this->Sender.Started[0].Searcher, this->Sender.Started[1].Searcher);
}

// A process that resumes after a pause must not send attempts whose caller no
// longer waits.
TEST_F(QueryExecutionTest, TimerAfterTheDeadlineSendsNothing) {
  this->endLastAttempt(AttemptStatus::Shed);
  this->endLastAttempt(AttemptStatus::Shed);
  this->endLastAttempt(AttemptStatus::Shed);
  this->Query->onTimer(this->Now + milliseconds(100));
  EXPECT_EQ(this->Sender.Started.size(), 3U);
  EXPECT_TRUE(std::holds_alternative<Refusal>(this->Query->outcome()));
}

} // namespace acaciacross::query
