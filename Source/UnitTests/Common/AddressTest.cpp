#include "Common/Address.h"

#include <gtest/gtest.h>

namespace acaciacross::common {

class AddressTest : public testing::Test {};

TEST_F(AddressTest, ParseOfNumberAndPortGivesBoth) {
  EXPECT_EQ(Address::parse("127.0.0.1:7100"), (Address{"127.0.0.1", 7100}));
}

// VMs are addressed by IP numbers; a host name would need a resolver that the
// platform does not give.
TEST_F(AddressTest, ParseOfHostNameIsRefused) {
  EXPECT_EQ(Address::parse("localhost:7100"), std::nullopt);
}

TEST_F(AddressTest, ParseOfPortOutOfRangeIsRefused) {
  EXPECT_EQ(Address::parse("127.0.0.1:70000"), std::nullopt);
  EXPECT_EQ(Address::parse("127.0.0.1:0"), std::nullopt);
  EXPECT_EQ(Address::parse("127.0.0.1:"), std::nullopt);
}

} // namespace acaciacross::common
