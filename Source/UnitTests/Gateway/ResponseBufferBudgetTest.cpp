#include "Gateway/ResponseBufferBudget.h"

#include <gtest/gtest.h>

namespace acaciacross::gateway {

class ResponseBufferBudgetTest : public testing::Test {
protected:
  static forwarding::AttemptNumber attempt(std::uint64_t Number) {
    return forwarding::AttemptNumber(Number);
  }

  ResponseBufferBudget Budget{1'000};
};

TEST_F(ResponseBufferBudgetTest, ResponsesWithinTheBoundAreKept) {
  EXPECT_FALSE(this->Budget.update(attempt(1), 400));
  EXPECT_FALSE(this->Budget.update(attempt(2), 600));
  EXPECT_EQ(this->Budget.heldBytes(), 1'000U);
}

// Many small responses are the work of a query; a large one is not.
TEST_F(ResponseBufferBudgetTest, LargestResponseIsEndedFirst) {
  this->Budget.update(attempt(1), 100);
  this->Budget.update(attempt(2), 800);
  EXPECT_EQ(this->Budget.update(attempt(3), 200), attempt(2));
}

TEST_F(ResponseBufferBudgetTest, GrowthOfAResponseCountsOnce) {
  this->Budget.update(attempt(1), 300);
  EXPECT_FALSE(this->Budget.update(attempt(1), 900));
  EXPECT_EQ(this->Budget.heldBytes(), 900U);
}

TEST_F(ResponseBufferBudgetTest, EndedResponseNoLongerCounts) {
  this->Budget.update(attempt(1), 900);
  this->Budget.release(attempt(1));
  this->Budget.release(attempt(1));
  EXPECT_EQ(this->Budget.heldBytes(), 0U);
  EXPECT_FALSE(this->Budget.update(attempt(2), 1'000));
  EXPECT_EQ(this->Budget.peakBytes(), 1'000U);
}

} // namespace acaciacross::gateway
