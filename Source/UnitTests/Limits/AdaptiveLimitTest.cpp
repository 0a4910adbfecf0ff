#include "Limits/AdaptiveLimit.h"

#include <gtest/gtest.h>

namespace acaciacross::limits {

using std::chrono::milliseconds;

class AdaptiveLimitTest : public testing::Test {
protected:
  void finish(int Count, milliseconds Latency, bool SawShed, bool IsUsedUp) {
    for (int I = 0; I < Count; ++I) {
      this->Now += milliseconds(10);
      this->Limit.onFinished(this->Now, Latency, SawShed, IsUsedUp);
    }
  }

  common::MonotonicTime Now{std::chrono::seconds(10)};
  AdaptiveLimit Limit{{8, milliseconds(20)}};
};

TEST_F(AdaptiveLimitTest, UsedUpLimitRisesToItsMaximum) {
  EXPECT_EQ(this->Limit.value(), 1U);
  this->finish(1'000, milliseconds(5), false, true);
  EXPECT_EQ(this->Limit.value(), 8U);
}

// A limit that rises in quiet hours would not limit the next burst.
TEST_F(AdaptiveLimitTest, UnusedLimitDoesNotRise) {
  this->finish(1'000, milliseconds(5), false, false);
  EXPECT_EQ(this->Limit.value(), 1U);
}

TEST_F(AdaptiveLimitTest, ShedRepliesLowerTheLimitButNeverBelowOne) {
  this->finish(1'000, milliseconds(5), false, true);
  this->finish(5, milliseconds(5), true, true);
  EXPECT_LT(this->Limit.value(), 5U);
  this->finish(1'000, milliseconds(5), true, true);
  EXPECT_EQ(this->Limit.value(), 1U);
}

// Searchers with long queues shed late; by then every answer is late.
TEST_F(AdaptiveLimitTest, QueueingDelayAboveTheToleratedOneLowersTheLimit) {
  this->finish(1'000, milliseconds(5), false, true);
  this->finish(200, milliseconds(40), false, true);
  EXPECT_EQ(this->Limit.value(), 1U);
}

} // namespace acaciacross::limits
