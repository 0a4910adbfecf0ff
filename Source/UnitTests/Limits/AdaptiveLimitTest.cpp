#include "Limits/AdaptiveLimit.h"

#include <gtest/gtest.h>

namespace acaciacross::limits {

using std::chrono::milliseconds;

class AdaptiveLimitTest : public testing::Test {
protected:
  void finish(int Count, milliseconds Latency, double ShedShare,
              bool IsUsedUp) {
    for (int I = 0; I < Count; ++I) {
      this->Now += milliseconds(10);
      this->Limit.onFinished(this->Now, Latency, ShedShare, IsUsedUp);
    }
  }

  common::MonotonicTime Now{std::chrono::seconds(10)};
  AdaptiveLimit Limit{{8, milliseconds(20)}};
};

TEST_F(AdaptiveLimitTest, UsedUpLimitRisesToItsMaximum) {
  EXPECT_EQ(this->Limit.value(), 1U);
  this->finish(1'000, milliseconds(5), 0.0, true);
  EXPECT_EQ(this->Limit.value(), 8U);
}

TEST_F(AdaptiveLimitTest, ChangedBoundsHoldFromTheNextRound) {
  this->finish(1'000, milliseconds(5), 0.0, true);
  this->finish(64, milliseconds(20), 0.0, true);
  EXPECT_EQ(this->Limit.value(), 8U);
  this->Limit.reconfigure({8, milliseconds(10)});
  this->finish(64, milliseconds(20), 0.0, true);
  EXPECT_LT(this->Limit.value(), 8U);
}

// A limit that rises at low load would not limit the next burst.
TEST_F(AdaptiveLimitTest, UnusedLimitDoesNotRise) {
  this->finish(1'000, milliseconds(5), 0.0, false);
  EXPECT_EQ(this->Limit.value(), 1U);
}

TEST_F(AdaptiveLimitTest, ShedRepliesLowerTheLimitButNeverBelowOne) {
  this->finish(1'000, milliseconds(5), 0.0, true);
  this->finish(64, milliseconds(5), 0.5, true);
  EXPECT_LT(this->Limit.value(), 5U);
  EXPECT_GT(this->Limit.value(), 1U);
  this->finish(1'000, milliseconds(5), 0.5, true);
  EXPECT_EQ(this->Limit.value(), 1U);
}

// Retries of a few shed attempts are within the extra-load target. A limit that
// falls on every shed attempt would leave slots idle.
TEST_F(AdaptiveLimitTest, ToleratedShareOfShedAttemptsDoesNotLowerTheLimit) {
  this->finish(1'000, milliseconds(5), 0.02, true);
  EXPECT_EQ(this->Limit.value(), 8U);
}

// Searchers with long queues shed late, when all answers are already late.
TEST_F(AdaptiveLimitTest, QueueingDelayAboveTheToleratedDelayLowersTheLimit) {
  this->finish(1'000, milliseconds(5), 0.0, true);
  this->finish(200, milliseconds(40), 0.0, true);
  EXPECT_EQ(this->Limit.value(), 1U);
}

} // namespace acaciacross::limits
