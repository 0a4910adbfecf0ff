#include "Frontend/MissReasons.h"

#include <gtest/gtest.h>

namespace acaciacross::frontend {

using std::chrono::milliseconds;
using Reasons = std::vector<MissReason>;

class MissReasonsTest : public testing::Test {
protected:
  MissReasonsTest() {
    this->Class.LatencyTarget = milliseconds(80);
    this->Class.CoverageTarget = 0.99;
    this->Report.Answers = 100;
    this->Report.LatencyAtTargetPercentile = milliseconds(50);
    this->Report.MeanCoverage = 1.0;
    this->Report.ExtraAttemptsLeft = 5;
    this->Service.Searchers.resize(2);
    this->Service.Snapshots.push_back(
        {common::SnapshotId("s"), {{common::ShardId(0), {0, 9}, 1, {0, 1}}}});
  }

  Reasons reasons() const {
    return missReasons(this->Class, this->Report, &this->Service);
  }

  configuration::ClassDefinition Class;
  metrics::ClassReport Report;
  query::ServiceView Service;
};

TEST_F(MissReasonsTest, MetTargetHasNoReason) {
  this->Report.ExtraAttemptsLeft = 0;
  this->Report.QueuedServiceRequests = 3;
  EXPECT_EQ(this->reasons(), Reasons());
}

// While requests wait in the entry VM, blaming the searchers would mislead the
// operator.
TEST_F(MissReasonsTest, LateAnswersAreExplainedByTheLimitOrTheUpstreams) {
  this->Report.LatencyAtTargetPercentile = milliseconds(81);
  EXPECT_EQ(this->reasons(), Reasons{MissReason::SlowUpstreams});
  this->Report.QueuedServiceRequests = 1;
  EXPECT_EQ(this->reasons(), Reasons{MissReason::ConcurrencyLimit});
}

TEST_F(MissReasonsTest, PartialAnswersAreExplainedByTheBudgetOrTheReplicas) {
  this->Report.MeanCoverage = 0.9;
  this->Report.ExtraAttemptsLeft = 0;
  EXPECT_EQ(this->reasons(), Reasons{MissReason::BudgetEmpty});
  this->Report.ExtraAttemptsLeft = 1;
  this->Service.Searchers[0].Availability =
      query::SearcherAvailability::Leaving;
  EXPECT_EQ(this->reasons(), Reasons());
  this->Service.Searchers[1].Availability =
      query::SearcherAvailability::Ejected;
  EXPECT_EQ(this->reasons(), Reasons{MissReason::MissingReplicas});
}

TEST_F(MissReasonsTest, WaitingWithoutAnswersIsExplainedByTheLimit) {
  this->Report.Answers = 0;
  this->Report.QueuedServiceRequests = 1;
  EXPECT_EQ(this->reasons(), Reasons{MissReason::ConcurrencyLimit});
}

} // namespace acaciacross::frontend
