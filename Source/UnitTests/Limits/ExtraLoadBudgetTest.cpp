#include "Limits/ExtraLoadBudget.h"

#include <gtest/gtest.h>

namespace acaciacross::limits {

class ExtraLoadBudgetTest : public testing::Test {
protected:
  void depositTimes(int Count) {
    for (int I = 0; I < Count; ++I)
      this->Budget.onFirstAttempt();
  }

  ExtraLoadBudget Budget{0.05, 10};
};

// A budget that starts filled lets a VM exceed the target after each restart.
TEST_F(ExtraLoadBudgetTest, WithdrawWithoutDepositIsDenied) {
  EXPECT_FALSE(this->Budget.tryWithdraw(1));
}

TEST_F(ExtraLoadBudgetTest, TwentyDepositsOfFivePercentPayForOneAttempt) {
  this->depositTimes(19);
  EXPECT_FALSE(this->Budget.tryWithdraw(1));
  this->depositTimes(1);
  EXPECT_TRUE(this->Budget.tryWithdraw(1));
  EXPECT_FALSE(this->Budget.tryWithdraw(1));
}

// A restart that is paid for in part would send attempts beyond the target.
TEST_F(ExtraLoadBudgetTest, WithdrawOfMoreThanTheBalanceTakesNothing) {
  this->depositTimes(60);
  EXPECT_FALSE(this->Budget.tryWithdraw(4));
  EXPECT_EQ(this->Budget.balance(), 3U);
}

// Savings of a quiet hour spent at once would be a retry storm.
TEST_F(ExtraLoadBudgetTest, DepositsBeyondTheCapAreDropped) {
  this->depositTimes(100'000);
  EXPECT_EQ(this->Budget.balance(), 10U);
}

// Hedges that spend everything leave shards with shed attempts missing.
TEST_F(ExtraLoadBudgetTest, HedgesLeaveHalfOfTheCapToRetries) {
  this->depositTimes(120);
  EXPECT_TRUE(this->Budget.tryWithdrawForHedge());
  EXPECT_FALSE(this->Budget.tryWithdrawForHedge());
  EXPECT_TRUE(this->Budget.tryWithdraw(5));
}

TEST_F(ExtraLoadBudgetTest, DecimalTargetLosesNothingToRounding) {
  ExtraLoadBudget Decimal(0.29, 100);
  for (int I = 0; I < 100; ++I)
    Decimal.onFirstAttempt();
  EXPECT_EQ(Decimal.balance(), 29U);
}

TEST_F(ExtraLoadBudgetTest, LowerTargetEmptiesTheBudget) {
  this->depositTimes(100);
  this->Budget.reconfigure(0.0, 10);
  EXPECT_FALSE(this->Budget.tryWithdraw(1));
}

} // namespace acaciacross::limits
