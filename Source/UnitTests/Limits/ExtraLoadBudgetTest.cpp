#include "Limits/ExtraLoadBudget.h"

#include <gtest/gtest.h>

namespace acaciacross::limits {

class ExtraLoadBudgetTest : public testing::Test {
protected:
  void deposit(int Count) {
    for (int I = 0; I < Count; ++I)
      this->Budget.onFirstAttempt();
  }

  ExtraLoadBudget Budget{0.05, 10};
};

// A budget that starts full would let a VM exceed the target after each
// restart.
TEST_F(ExtraLoadBudgetTest, WithdrawWithoutDepositIsDenied) {
  EXPECT_FALSE(this->Budget.tryWithdraw(1));
}

TEST_F(ExtraLoadBudgetTest, TwentyDepositsOfFivePercentAllowOneAttempt) {
  this->deposit(19);
  EXPECT_FALSE(this->Budget.tryWithdraw(1));
  this->deposit(1);
  EXPECT_TRUE(this->Budget.tryWithdraw(1));
  EXPECT_FALSE(this->Budget.tryWithdraw(1));
}

// A partial withdrawal for a restart would send attempts beyond the target.
TEST_F(ExtraLoadBudgetTest, WithdrawOfMoreThanTheBalanceLeavesItUnchanged) {
  this->deposit(60);
  EXPECT_FALSE(this->Budget.tryWithdraw(4));
  EXPECT_EQ(this->Budget.balance(), 3U);
}

// A balance accumulated at low load and spent at once would cause a retry
// storm.
TEST_F(ExtraLoadBudgetTest, DepositsBeyondTheMaximumAreDropped) {
  this->deposit(100'000);
  EXPECT_EQ(this->Budget.balance(), 10U);
}

// If hedges used the whole budget, shards with shed attempts would stay
// missing.
TEST_F(ExtraLoadBudgetTest, HedgesLeaveHalfOfTheMaximumToRetries) {
  this->deposit(120);
  EXPECT_TRUE(this->Budget.tryWithdrawForHedge());
  EXPECT_FALSE(this->Budget.tryWithdrawForHedge());
  EXPECT_TRUE(this->Budget.tryWithdraw(5));
}

TEST_F(ExtraLoadBudgetTest, DecimalTargetIsNotReducedByRounding) {
  ExtraLoadBudget Decimal(0.29, 100);
  for (int I = 0; I < 100; ++I)
    Decimal.onFirstAttempt();
  EXPECT_EQ(Decimal.balance(), 29U);
}

TEST_F(ExtraLoadBudgetTest, LowerTargetEmptiesTheBudget) {
  this->deposit(100);
  this->Budget.reconfigure(0.0, 10);
  EXPECT_FALSE(this->Budget.tryWithdraw(1));
}

} // namespace acaciacross::limits
