#include "Forwarding/CallerWaitEstimator.h"

#include <gtest/gtest.h>

namespace acaciacross::forwarding {

using std::chrono::milliseconds;

class CallerWaitEstimatorTest : public testing::Test {
protected:
  void learn(milliseconds RemainingWait, int Count = 64) {
    for (int I = 0; I < Count; ++I)
      this->Estimator.addSample(RemainingWait);
  }

  CallerWaitEstimator Estimator;
};

TEST_F(CallerWaitEstimatorTest, FirstCallersGetNoEstimate) {
  EXPECT_EQ(this->Estimator.addSample(milliseconds(480)), std::nullopt);
}

// A caller that set up a connection first had lost 18 of its 80 ms, and got its
// answer late although the VM took 48 ms.
TEST_F(CallerWaitEstimatorTest,
       WaitBeforeSendingIsTheDifferenceToTheLongestWait) {
  this->learn(milliseconds(500), 10);
  EXPECT_EQ(this->Estimator.addSample(milliseconds(482)), milliseconds(18));
  EXPECT_EQ(this->Estimator.addSample(milliseconds(500)), milliseconds(0));
}

TEST_F(CallerWaitEstimatorTest, EstimateFollowsShorterTimeouts) {
  this->learn(milliseconds(500));
  this->learn(milliseconds(300));
  EXPECT_EQ(this->Estimator.addSample(milliseconds(290)), milliseconds(10));
}

} // namespace acaciacross::forwarding
