#include "Forwarding/RetryBudget.h"

#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

namespace acaciacross::forwarding {

using std::chrono::milliseconds;

class RetryBudgetTest : public testing::Test {
protected:
  unsigned withdrawAll(unsigned VmCount, double ReservedShare = 0.0) {
    return this->withdrawAll(FleetShare{VmCount, VmCount, 0, true},
                             ReservedShare);
  }

  unsigned withdrawAll(const FleetShare &Share, double ReservedShare = 0.0) {
    unsigned Taken = 0;
    while (this->Budget.tryWithdraw(this->Time.monotonicNow(), Share,
                                    ReservedShare))
      ++Taken;
    return Taken;
  }

  void recordRequests(int Count) {
    for (int I = 0; I < Count; ++I)
      this->Budget.recordRequest(this->Time.monotonicNow());
  }

  testsupport::ManualClock Time;
  RetryBudget Budget{RetryBudgetSettings{0.2, 60.0, milliseconds(10'000)}};
};

// The fleet's bound is 0.2 x 900 + 60 in one window. Nine VMs that each use
// their share must stay below it.
TEST_F(RetryBudgetTest, SharesOfAllVmsStayBelowTheBoundOfTheFleet) {
  this->recordRequests(100);
  EXPECT_LE(9 * this->withdrawAll(9), 0.2 * 900 + 60);
}

// Guards against equal shares for all VMs. In a fleet of mostly standby VMs
// these left the placed ones without a hedge in the first seconds after a power
// loss.
TEST_F(RetryBudgetTest, PlacedVmCanHedgeBeforeItHasSeenRequests) {
  EXPECT_GE(this->withdrawAll(FleetShare{69, 8, 61, true}, 0.3), 2U);
}

TEST_F(RetryBudgetTest, SharesOfTwoSetsOfPlacedVmsStayBelowTheBound) {
  const FleetShare Placed{69, 8, 61, true};
  const FleetShare Standby{69, 8, 61, false};
  EXPECT_LE(8 * Placed.shareOfFleet() + 61 * Standby.shareOfFleet(), 1.0);
  EXPECT_LE(2 * 8 * Placed.shareOfFleet(), 1.0);
}

TEST_F(RetryBudgetTest, ExtraAttemptsCountForAWholeWindow) {
  const unsigned First = this->withdrawAll(1);
  EXPECT_GT(First, 50U);
  this->Time.advance(milliseconds(9'900));
  EXPECT_EQ(this->withdrawAll(1), 0U);
  this->Time.advance(milliseconds(1'100));
  EXPECT_EQ(this->withdrawAll(1), First);
}

TEST_F(RetryBudgetTest, HedgesLeaveBudgetForRetries) {
  const unsigned Hedges = this->withdrawAll(1, 0.3);
  const unsigned Repeats = this->withdrawAll(1);
  EXPECT_GT(Hedges, 0U);
  EXPECT_GT(Repeats, 0.2 * (Hedges + Repeats));
}

TEST_F(RetryBudgetTest, OldRequestsAllowNoExtraAttempts) {
  this->recordRequests(1'000);
  this->Time.advance(milliseconds(30'000));
  EXPECT_LE(this->withdrawAll(1), 60U);
}

} // namespace acaciacross::forwarding
