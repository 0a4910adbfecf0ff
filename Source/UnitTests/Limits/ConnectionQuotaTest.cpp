#include "Limits/ConnectionQuota.h"

#include "Common/Error.h"

#include <gtest/gtest.h>

namespace acaciacross::limits {

class ConnectionQuotaTest : public testing::Test {};

// With rounding up, all VMs together could exceed the searcher's maximum.
TEST_F(ConnectionQuotaTest, QuotaIsRoundedDown) {
  EXPECT_EQ(ConnectionQuota(12).perVm(25, 1), 2U);
  EXPECT_EQ(ConnectionQuota(12).perVm(11, 1), 0U);
  EXPECT_EQ(ConnectionQuota(12).perVm(110, 2), 4U);
}

TEST_F(ConnectionQuotaTest, ZeroEntryVmsAreRefused) {
  EXPECT_THROW(ConnectionQuota(0), common::Error);
}

} // namespace acaciacross::limits
