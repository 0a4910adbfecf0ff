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

// Which of two members counts would depend on the reader.
TEST_F(JsonObjectTest, ParseOfRepeatedNameIsRefused) {
  EXPECT_FALSE(JsonObject::parse(R"({"a":1,"a":2})"));
}

TEST_F(JsonObjectTest, ParseOfAnythingElseThanOneObjectIsRefused) {
  for (const char *Text : {"", "[]", "1", "{} x", "{", R"({"a":})", "{\"a\":1"})
    EXPECT_FALSE(JsonObject::parse(Text)) << Text;
  EXPECT_FALSE(JsonObject::parse("{\"a\":\"\xff\"}"));
}

// Deep nesting must not exhaust the stack of the thread that reads it.
TEST_F(JsonObjectTest, ParseOfDeepNestingReturns) {
  EXPECT_FALSE(JsonObject::parse("{\"a\":" + std::string(1 << 20, '[')));
}

// Refusals of cut off requests still have to name the request.
TEST_F(JsonObjectTest, PrefixOfCutOffTextKeepsTheMembersBefore) {
  EXPECT_EQ(JsonObject::parsePrefix(R"({"id":"7","body":"abc)").string("id"),
            "7");
}

} // namespace acaciacross::json
