#include "Limits/ConnectionQuota.h"

#include "Common/Error.h"

#include <gtest/gtest.h>

namespace acaciacross::limits {

class ConnectionQuotaTest : public testing::Test {};

// Rounding up would let all VMs together exceed the searcher's cap.
TEST_F(ConnectionQuotaTest, CapThatDoesNotDivideEvenlyIsRoundedDown) {
  EXPECT_EQ(ConnectionQuota(12).perVm(25, 1), 2U);
  EXPECT_EQ(ConnectionQuota(12).perVm(11, 1), 0U);
  EXPECT_EQ(ConnectionQuota(12).perVm(110, 2), 4U);
}

TEST_F(ConnectionQuotaTest, MaximumOfNoEntryVmsIsRefused) {
  EXPECT_THROW(ConnectionQuota(0), common::Error);
}

} // namespace acaciacross::limits
