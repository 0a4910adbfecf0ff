#include "StandIns/Platform/CallLimiter.h"

#include <gtest/gtest.h>

namespace acaciacross::standins {

class CallLimiterTest : public testing::Test {
protected:
  CallLimiter Limiter{2};
  common::MonotonicTime Now{std::chrono::hours(1)};
};

// Guards against a window that ends early, with calls over the limit accepted.
TEST_F(CallLimiterTest, CallOverTheLimitIsRefusedUntilASecondHasPassed) {
  this->Limiter.end(*this->Limiter.begin(this->Now));
  this->Limiter.end(*this->Limiter.begin(this->Now));
  EXPECT_FALSE(this->Limiter.begin(this->Now + std::chrono::milliseconds(999)));
  EXPECT_TRUE(this->Limiter.begin(this->Now + std::chrono::seconds(1)));
  EXPECT_EQ(this->Limiter.refused(), 1U);
}

// Guards against a waiting watch that stops counting after its first second.
TEST_F(CallLimiterTest, OpenWatchCountsAsOneCallForAsLongAsItWaits) {
  const auto Watch = this->Limiter.begin(this->Now);
  this->Now += std::chrono::seconds(30);
  EXPECT_TRUE(this->Limiter.begin(this->Now));
  EXPECT_FALSE(this->Limiter.begin(this->Now));
  this->Limiter.end(*Watch);
  EXPECT_TRUE(this->Limiter.begin(this->Now));
}

} // namespace acaciacross::standins
