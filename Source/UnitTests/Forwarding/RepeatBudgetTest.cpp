#include "Forwarding/RepeatBudget.h"

#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

namespace acaciacross::forwarding {

using std::chrono::milliseconds;

class RepeatBudgetTest : public testing::Test {
protected:
  unsigned withdrawAll(unsigned VmCount, double KeepBack = 0.0) {
    unsigned Taken = 0;
    while (this->Budget.withdraw(this->Time.monotonicNow(), VmCount, KeepBack))
      ++Taken;
    return Taken;
  }

  void requests(int Count) {
    for (int I = 0; I < Count; ++I)
      this->Budget.noteRequest(this->Time.monotonicNow());
  }

  testsupport::ManualClock Time;
  RepeatBudget Budget{RepeatBudgetSettings{0.2, 60.0, milliseconds(10'000)}};
};

// The fleet's bound is 0.2 x 900 + 60 in one window; nine VMs that each use
// their part must stay below it.
TEST_F(RepeatBudgetTest, PartsOfAllVmsStayBelowTheBoundOfTheFleet) {
  this->requests(100);
  EXPECT_LE(9 * this->withdrawAll(9), 0.2 * 900 + 60);
}

TEST_F(RepeatBudgetTest, ExtrasCountForAWholeWindow) {
  const unsigned First = this->withdrawAll(1);
  EXPECT_GT(First, 50U);
  this->Time.advance(milliseconds(9'900));
  EXPECT_EQ(this->withdrawAll(1), 0U);
  this->Time.advance(milliseconds(1'100));
  EXPECT_EQ(this->withdrawAll(1), First);
}

TEST_F(RepeatBudgetTest, HedgesLeaveRoomForRepeats) {
  const unsigned Hedges = this->withdrawAll(1, 0.3);
  const unsigned Repeats = this->withdrawAll(1);
  EXPECT_GT(Hedges, 0U);
  EXPECT_GT(Repeats, 0.2 * (Hedges + Repeats));
}

TEST_F(RepeatBudgetTest, OldRequestsAllowNothing) {
  this->requests(1'000);
  this->Time.advance(milliseconds(30'000));
  EXPECT_LE(this->withdrawAll(1), 60U);
}

} // namespace acaciacross::forwarding
