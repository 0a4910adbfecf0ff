#include "Gateway/PayerSelector.h"

#include <gtest/gtest.h>

namespace acaciacross::gateway {

/// Load: connections of callers that together hold more than the limit of 800.
class PayerSelectorTest : public testing::Test {
protected:
  using Indexes = std::vector<std::size_t>;

  static constexpr common::MonotonicTime Now{std::chrono::seconds(100)};

  static MemoryClaim claim(std::size_t Bytes, std::chrono::seconds Age,
                           MemoryUse Use = MemoryUse::Receiving) {
    return {Bytes, Use, Now - Age};
  }

  Indexes select(const std::vector<MemoryClaim> &Claims) const {
    return this->Selector.select(Claims, Now);
  }

  const PayerSelector Selector{800};
};

TEST_F(PayerSelectorTest, ClaimsAtLimitAreKept) {
  EXPECT_EQ(this->select({claim(400, std::chrono::seconds(9)),
                          claim(400, std::chrono::seconds(9))}),
            Indexes());
}

TEST_F(PayerSelectorTest, LargestOfEquallyOldClaimsEndsFirst) {
  EXPECT_EQ(this->select({claim(300, std::chrono::seconds(1)),
                          claim(400, std::chrono::seconds(1)),
                          claim(200, std::chrono::seconds(1))}),
            Indexes{1});
}

TEST_F(PayerSelectorTest, OldestOfEquallyLargeClaimsEndsFirst) {
  EXPECT_EQ(this->select({claim(300, std::chrono::seconds(1)),
                          claim(300, std::chrono::seconds(2)),
                          claim(300, std::chrono::seconds(5))}),
            Indexes{2});
}

// Guards against a caller on a slow link that pays for a crowd which sends
// fast.
TEST_F(PayerSelectorTest, SmallClaimWithShortPauseOutlivesLargeOnes) {
  EXPECT_EQ(this->select({claim(10, std::chrono::seconds(2)),
                          claim(500, std::chrono::seconds(0)),
                          claim(500, std::chrono::seconds(0))})
                .front(),
            1U);
}

// Guards against requests in progress, which can't be ended, that together take
// more than the limit.
TEST_F(PayerSelectorTest, LargeRequestDoesNotBeginAboveLimit) {
  EXPECT_TRUE(this->Selector.admits(300, 800, 10));
  EXPECT_FALSE(this->Selector.admits(300, 801, 10));
  EXPECT_TRUE(this->Selector.admits(80, 2'000, 10)) << "an equal share";
  EXPECT_FALSE(this->Selector.admits(81, 2'000, 10));
}

// Guards against answers that are lost while searchers work on them.
TEST_F(PayerSelectorTest, RequestsInProgressAreSpared) {
  EXPECT_EQ(
      this->select({claim(900, std::chrono::seconds(9), MemoryUse::Serving),
                    claim(10, std::chrono::seconds(0)),
                    claim(20, std::chrono::seconds(9), MemoryUse::Sending)}),
      (Indexes{2, 1}));
}

} // namespace acaciacross::gateway
