#include "Gateway/DescriptorShares.h"
#include "Gateway/IdleSelector.h"

#include <gtest/gtest.h>

namespace acaciacross::gateway {

/// Load: more connections of callers than the process has descriptors.
class DescriptorSharesTest : public testing::Test {
protected:
  static constexpr std::size_t Total = 3'200;

  const DescriptorShares Shares{Total};
};

TEST_F(DescriptorSharesTest, FewSearchersLeaveCallersTheLargestPart) {
  EXPECT_EQ(this->Shares.callers(0),
            Total - Total / 4 - Total / 8 - Total / 16);
}

TEST_F(DescriptorSharesTest, ManySearchersTakeFromTheCallers) {
  EXPECT_EQ(this->Shares.callers(1'000),
            Total - 1'000 - Total / 4 - Total / 16);
}

// Guards against a port that never accepts again.
TEST_F(DescriptorSharesTest, OneCallerIsAlwaysAllowed) {
  EXPECT_EQ(this->Shares.callers(Total), 1U);
  EXPECT_GE(DescriptorShares(0).page(), 1U);
}

class IdleSelectorTest : public testing::Test {
protected:
  static constexpr common::MonotonicTime Now{std::chrono::seconds(100)};

  static IdleClaim claim(bool HasReadRequest, std::chrono::seconds Age) {
    return {HasReadRequest, Now - Age};
  }
};

// Guards against callers with kept connections that pay for silent ones.
TEST_F(IdleSelectorTest, ConnectionsWithoutRequestEndFirst) {
  const std::vector<IdleClaim> Claims = {claim(true, std::chrono::seconds(9)),
                                         claim(false, std::chrono::seconds(3)),
                                         claim(false, std::chrono::seconds(5)),
                                         claim(false, std::chrono::seconds(1))};
  EXPECT_EQ(IdleSelector::select(Claims, 3, std::chrono::seconds(2), Now),
            (std::vector<std::size_t>{2, 1, 0}));
}

} // namespace acaciacross::gateway
