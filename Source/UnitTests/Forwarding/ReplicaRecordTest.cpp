#include "Forwarding/ReplicaRecord.h"

#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

namespace acaciacross::forwarding {

using std::chrono::milliseconds;

class ReplicaRecordTest : public testing::Test {
protected:
  common::MonotonicTime now() const { return this->Time.monotonicNow(); }

  double expectedMs(const ReplicaRecord &Replica) const {
    return std::chrono::duration<double, std::milli>(
               Replica.expectedDelay(this->now(), milliseconds(10)))
        .count();
  }

  testsupport::ManualClock Time;
  ReplicaRecord Replica{SearcherEntry()};
};

// A paused searcher only shows by not responding. Only the first attempts may
// run into the pause.
TEST_F(ReplicaRecordTest, OverdueAttemptRaisesTheExpectedDelay) {
  this->Replica.onSent(this->now());
  const double Before = this->expectedMs(this->Replica);
  this->Time.advance(milliseconds(60));
  EXPECT_GT(this->expectedMs(this->Replica), 3 * Before);
}

TEST_F(ReplicaRecordTest, FewSlowRepliesRaiseTheLatencyRatio) {
  for (int I = 0; I < 3; ++I)
    this->Replica.onAnswered(this->now(), milliseconds(100), milliseconds(10));
  EXPECT_GT(this->Replica.latencyRatio(this->now()), 5.0);
}

// Without the decay a searcher that was slow once would never be tried again.
TEST_F(ReplicaRecordTest, LatencyRatioDecaysWithoutReplies) {
  for (int I = 0; I < 8; ++I)
    this->Replica.onAnswered(this->now(), milliseconds(100), milliseconds(10));
  this->Time.advance(milliseconds(12'000));
  EXPECT_LT(this->Replica.latencyRatio(this->now()), 1.5);
}

TEST_F(ReplicaRecordTest, UnreachableSearcherIsNotTriedDuringBackOff) {
  this->Replica.onUnreachable(this->now());
  EXPECT_FALSE(this->Replica.isReachable(this->now()));
  this->Time.advance(milliseconds(260));
  EXPECT_TRUE(this->Replica.isReachable(this->now()));
  this->Replica.onUnreachable(this->now());
  this->Time.advance(milliseconds(260));
  EXPECT_FALSE(this->Replica.isReachable(this->now())) << "the pause grows";
}

// Otherwise every query would wait for a lost shard each time the back-off
// ends.
TEST_F(ReplicaRecordTest, OnlyOneAttemptTriesAnUnreachableSearcherAgain) {
  this->Replica.onUnreachable(this->now());
  this->Time.advance(milliseconds(300));
  EXPECT_TRUE(this->Replica.isReachable(this->now()));
  this->Replica.onSent(this->now());
  EXPECT_FALSE(this->Replica.isReachable(this->now()));
  this->Replica.onAttemptEnded(this->now());
  this->Replica.onAnswered(this->now(), milliseconds(10), milliseconds(10));
  this->Replica.onSent(this->now());
  EXPECT_TRUE(this->Replica.isReachable(this->now()));
}

// A searcher that fails silently keeps its connections open and never responds.
TEST_F(ReplicaRecordTest, LongUnansweredAttemptMakesTheSearcherUnresponsive) {
  const common::MonotonicTime SentAt = this->now();
  this->Replica.onSent(SentAt);
  this->Time.advance(milliseconds(260));
  EXPECT_FALSE(this->Replica.isUnresponsive(this->now(), milliseconds(10)));
  this->Time.advance(milliseconds(60));
  EXPECT_TRUE(this->Replica.isUnresponsive(this->now(), milliseconds(10)));
  EXPECT_FALSE(this->Replica.isUnresponsive(this->now(), milliseconds(100)));
  this->Replica.onAttemptEnded(SentAt);
  EXPECT_FALSE(this->Replica.isUnresponsive(this->now(), milliseconds(10)));
}

// A searcher that rejects half of its requests must not look idle.
TEST_F(ReplicaRecordTest, RejectionsRaiseTheExpectedDelay) {
  const double Before = this->expectedMs(this->Replica);
  for (int I = 0; I < 3; ++I)
    this->Replica.onBusy(this->now());
  this->Time.advance(milliseconds(200));
  EXPECT_GT(this->expectedMs(this->Replica), 3 * Before);
}

TEST_F(ReplicaRecordTest, LoadOfOtherVmsCountsWhileItIsRecent) {
  this->Replica.onLoadReported(this->now(), {2, 4, 2});
  const double Recent = this->expectedMs(this->Replica);
  this->Time.advance(milliseconds(500));
  EXPECT_GT(Recent, 2 * this->expectedMs(this->Replica));
}

// Failures of the previous process must not count against a restarted searcher
// with the same id.
TEST_F(ReplicaRecordTest, RestartResetsTheFailureRate) {
  for (int I = 0; I < 8; ++I)
    this->Replica.onFailed(this->now());
  SearcherEntry Restarted;
  Restarted.StartedUnixMs = 5;
  this->Replica.update(Restarted);
  EXPECT_EQ(this->Replica.failureRate(this->now()), 0.0);
}

TEST_F(ReplicaRecordTest, DrainingSearcherIsNotListed) {
  SearcherEntry Draining;
  Draining.IsDraining = true;
  this->Replica.update(Draining);
  EXPECT_FALSE(this->Replica.isListed());
}

// A machine that turned slow since the last measured replies must not get more
// work until its replies are late.
TEST_F(ReplicaRecordTest, ReportedSlownessRaisesTheExpectedDelayWhileFresh) {
  const double Usual = this->expectedMs(this->Replica);
  this->Replica.onLoadReported(this->now(), {0, 0, 4, 5.0});
  EXPECT_NEAR(this->expectedMs(this->Replica), 5.0 * Usual, 0.1 * Usual);
  this->Time.advance(milliseconds(150));
  EXPECT_NEAR(this->expectedMs(this->Replica), Usual, 0.01 * Usual);
}

// Slowness that shows in the latency and in the report is one and the same.
TEST_F(ReplicaRecordTest, MeasuredAndReportedSlownessCountOnce) {
  for (int I = 0; I < 20; ++I) {
    this->Replica.onLoadReported(this->now(), {0, 0, 4, 5.0});
    this->Replica.onAnswered(this->now(), milliseconds(50), milliseconds(10));
  }
  EXPECT_NEAR(this->expectedMs(this->Replica), 50.0, 1.0);
  // The machine is as fast as usual again: no reply has shown it yet.
  this->Replica.onLoadReported(this->now(), {0, 0, 4, 1.0});
  EXPECT_NEAR(this->expectedMs(this->Replica), 10.0, 1.0);
  this->Time.advance(milliseconds(150));
  EXPECT_GT(this->expectedMs(this->Replica), 40.0)
      << "without a fresh report the measured ratio holds";
}

} // namespace acaciacross::forwarding
