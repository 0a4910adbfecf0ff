#include "Common/AttemptId.h"

#include <gtest/gtest.h>

namespace acaciacross::common {

class AttemptIdTest : public testing::Test {
protected:
  AttemptId Id{Incarnation(0xabcdef), 42};
};

// A reply is matched to its attempt by this text. If two ids had the same text,
// a caller could receive the answer to another request.
TEST_F(AttemptIdTest, ParseOfToStringGivesTheSameId) {
  EXPECT_EQ(AttemptId::parse(this->Id.toString()), this->Id);
}

TEST_F(AttemptIdTest, ParseOfTextWithTrailingBytesIsRefused) {
  EXPECT_EQ(AttemptId::parse(this->Id.toString() + "x"), std::nullopt);
}

TEST_F(AttemptIdTest, ParseOfTextWithoutSequenceIsRefused) {
  EXPECT_EQ(AttemptId::parse("abcdef"), std::nullopt);
  EXPECT_EQ(AttemptId::parse("abcdef-"), std::nullopt);
}

} // namespace acaciacross::common
