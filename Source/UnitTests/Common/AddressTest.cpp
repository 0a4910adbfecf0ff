#include "Common/Address.h"

#include <gtest/gtest.h>

namespace acaciacross::common {

class AddressTest : public testing::Test {};

TEST_F(AddressTest, ParseOfAddressAndPortGivesBoth) {
  EXPECT_EQ(Address::parse("127.0.0.1:7100"), (Address{"127.0.0.1", 7100}));
}

// VMs are addressed by IPv4 addresses. A host name would need a resolver, which
// the platform does not provide.
TEST_F(AddressTest, ParseOfHostNameIsRefused) {
  EXPECT_EQ(Address::parse("localhost:7100"), std::nullopt);
}

// A port must not be truncated to 16 bits or default to 0.
TEST_F(AddressTest, ParseOfPortOutOfRangeIsRefused) {
  EXPECT_EQ(Address::parse("127.0.0.1:70000"), std::nullopt);
  EXPECT_EQ(Address::parse("127.0.0.1:0"), std::nullopt);
  EXPECT_EQ(Address::parse("127.0.0.1:"), std::nullopt);
}

} // namespace acaciacross::common
