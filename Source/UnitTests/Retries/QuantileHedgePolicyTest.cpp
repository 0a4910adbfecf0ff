#include "Retries/QuantileHedgePolicy.h"

#include <gtest/gtest.h>

namespace acaciacross::retries {

using std::chrono::milliseconds;

class QuantileHedgePolicyTest : public testing::Test {
protected:
  static void addReplies(QuantileHedgePolicy &Policy, int Count) {
    for (int I = 0; I < Count; ++I)
      Policy.onReply(milliseconds(I % 100 + 1));
  }

  HedgeBounds Limits{milliseconds(2), milliseconds(500)};
};

// With few samples the quantile is unreliable, and a low value would hedge
// every attempt.
TEST_F(QuantileHedgePolicyTest, FewSamplesGiveNoHedge) {
  QuantileHedgePolicy Policy(0.05, this->Limits);
  addReplies(Policy, 99);
  EXPECT_EQ(Policy.delay(), std::nullopt);
  addReplies(Policy, 1);
  EXPECT_NE(Policy.delay(), std::nullopt);
}

TEST_F(QuantileHedgePolicyTest, DelayIsTheQuantileOfOneMinusTheTarget) {
  QuantileHedgePolicy Policy(0.05, this->Limits);
  addReplies(Policy, 1'000);
  EXPECT_GE(*Policy.delay(), milliseconds(95));
  EXPECT_LE(*Policy.delay(), milliseconds(107));
}

TEST_F(QuantileHedgePolicyTest, ZeroExtraLoadTargetNeverHedges) {
  QuantileHedgePolicy Policy(0.0, this->Limits);
  addReplies(Policy, 1'000);
  EXPECT_EQ(Policy.delay(), std::nullopt);
}

TEST_F(QuantileHedgePolicyTest, DelayStaysWithinItsBounds) {
  QuantileHedgePolicy Fast(0.05, this->Limits);
  QuantileHedgePolicy Slow(0.05, this->Limits);
  for (int I = 0; I < 200; ++I) {
    Fast.onReply(std::chrono::microseconds(10));
    Slow.onReply(std::chrono::seconds(5));
  }
  EXPECT_EQ(*Fast.delay(), milliseconds(2));
  EXPECT_EQ(*Slow.delay(), milliseconds(500));
}

// Guards against a target raised at run time that takes effect only after a new
// window of samples.
TEST_F(QuantileHedgePolicyTest, ChangedTargetAppliesAtOnce) {
  QuantileHedgePolicy Policy(0.0, this->Limits);
  addReplies(Policy, 1'000);
  Policy.reconfigure(0.05, this->Limits);
  EXPECT_NE(Policy.delay(), std::nullopt);
}

} // namespace acaciacross::retries
