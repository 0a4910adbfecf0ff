#include "Json/JsonObject.h"

#include <gtest/gtest.h>

namespace acaciacross::json {

class JsonObjectTest : public testing::Test {};

TEST_F(JsonObjectTest, ParseGivesStringsAndUnsignedIntegers) {
  const auto Object = JsonObject::parse(R"({"a":"x\n","b":7,"c":[{"a":1}]})");
  ASSERT_TRUE(Object);
  EXPECT_EQ(Object->string("a"), "x\n");
  EXPECT_EQ(Object->unsignedInteger("b"), 7U);
  EXPECT_TRUE(Object->has("c"));
  EXPECT_EQ(Object->string("b"), std::nullopt);
}

// With a repeated name, two programs could use different values of the same
// text.
TEST_F(JsonObjectTest, ParseOfRepeatedNameIsRefused) {
  EXPECT_FALSE(JsonObject::parse(R"({"a":1,"a":2})"));
}

// Trailing bytes, incomplete objects and invalid UTF-8 must not be accepted.
TEST_F(JsonObjectTest, ParseOfTextThatIsNotOneObjectIsRefused) {
  for (const char *Text : {"", "[]", "1", "{} x", "{", R"({"a":})", "{\"a\":1"})
    EXPECT_FALSE(JsonObject::parse(Text)) << Text;
  EXPECT_FALSE(JsonObject::parse("{\"a\":\"\xff\"}"));
}

// Deep nesting must not overflow the stack of the thread that parses the text.
TEST_F(JsonObjectTest, ParseOfDeepNestingReturns) {
  EXPECT_FALSE(JsonObject::parse("{\"a\":" + std::string(1 << 20, '[')));
}

// The refusal of a truncated request must still carry the id of the request.
TEST_F(JsonObjectTest, PrefixOfTruncatedTextKeepsEarlierMembers) {
  EXPECT_EQ(JsonObject::parsePrefix(R"({"id":"7","body":"abc)").string("id"),
            "7");
}

} // namespace acaciacross::json
