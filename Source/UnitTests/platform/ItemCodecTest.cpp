#include "platform/ItemCodec.h"

#include <gtest/gtest.h>

#include <string>

namespace acaciacross::adapter {

class ItemCodecTest : public testing::Test {
protected:
  discovery::PublishedItem decode(const std::string &Key,
                                  const std::string &Value) const {
    return this->Codec.decode({Key, Value, 1});
  }

  static std::string replaced(std::string Text, const std::string &From,
                              const std::string &To) {
    return Text.replace(Text.find(From), From.size(), To);
  }

  const std::string Entry =
      R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1",)"
      R"("slots":2,"state":"ready","cold_left_ms":7,"seq":4,"born":99})";
  const std::string Routes =
      R"({"version":7,"routes":[)"
      R"({"name":"q","host":"h","prefix":"/q/","type":"idempotent",)"
      R"("timeout_ms":1000,"latency_target_ms":120,"priority":1,)"
      R"("gather":["s","t"],"max_attempts":2,"top_k":10,"min_coverage":0.5},)"
      R"({"name":"p","host":"h","prefix":"/p/","type":"non_idempotent",)"
      R"("timeout_ms":4000,"latency_target_ms":400,"priority":2,)"
      R"("split":[{"service":"u","weight":3},{"service":"v","weight":1}],)"
      R"("max_attempts":1}],)"
      R"("services":[{"name":"s","max_conns":26}],)"
      R"("limits":{"max_header_bytes":100,"max_body_bytes":200,)"
      R"("header_timeout_ms":300,"idle_timeout_ms":400}})";
  ItemCodec Codec;
};

TEST_F(ItemCodecTest, EntryNamesASearcher) {
  const auto Said = this->decode("servers/i-1", this->Entry).Searcher;
  ASSERT_TRUE(Said);
  EXPECT_EQ(Said->Id.Value, "i-1");
  EXPECT_EQ(Said->Service.Value, "s");
  EXPECT_EQ(Said->Where.toString(), "10.0.0.9:80");
  EXPECT_EQ(Said->Slots, 2U);
  EXPECT_FALSE(Said->IsDraining);
  EXPECT_EQ(Said->ColdLeft, std::chrono::milliseconds(7));
  EXPECT_EQ(Said->BornMs, 99);
}

// Entries come from other writers, too; one of them must not stop this VM.
TEST_F(ItemCodecTest, EntryWithAFieldOfAnotherTypeIsAProblem) {
  for (const auto &[From, To] :
       {std::pair{"\"slots\":2", "\"slots\":\"2\""},
        std::pair{"\"state\":\"ready\"", "\"state\":\"asleep\""},
        std::pair{"10.0.0.9:80", "nowhere"},
        std::pair{"\"service\":\"s\",", ""}}) {
    const auto Said =
        this->decode("servers/i-1", replaced(this->Entry, From, To));
    EXPECT_FALSE(Said.Searcher) << To;
    EXPECT_FALSE(Said.Problem.empty()) << To;
  }
}

TEST_F(ItemCodecTest, UnreadableBytesAreAProblem) {
  for (const char *Bytes : {"", "{", "[]", "\xff\xfe"})
    EXPECT_FALSE(this->decode("servers/i-1", Bytes).Problem.empty());
}

TEST_F(ItemCodecTest, OtherKeysAreOfNoConcern) {
  const auto Said = this->decode("other/key", "{");
  EXPECT_TRUE(Said.Problem.empty());
  EXPECT_FALSE(Said.Searcher);
}

TEST_F(ItemCodecTest, RoutesCarryTargetsAndLimits) {
  const auto Table = this->decode("op/config", this->Routes).Table;
  ASSERT_NE(Table, nullptr);
  EXPECT_EQ(Table->version(), 7U);
  const forwarding::Route *Query = Table->match("h", "/q/1");
  ASSERT_NE(Query, nullptr);
  ASSERT_TRUE(Query->Gather);
  EXPECT_EQ(Query->Gather->Shards.size(), 2U);
  EXPECT_EQ(Query->Gather->TopRecords, 10U);
  EXPECT_EQ(Query->Repeat, forwarding::Repeatability::Repeatable);
  EXPECT_EQ(Query->LatencyTarget, std::chrono::milliseconds(120));
  const forwarding::Route *Plain = Table->match("h", "/p/1");
  ASSERT_NE(Plain, nullptr);
  EXPECT_EQ(Plain->Repeat, forwarding::Repeatability::AtMostOnce);
  ASSERT_EQ(Plain->Services.size(), 2U);
  EXPECT_EQ(Plain->Services[0].Weight, 3.0);
  EXPECT_EQ(*Table->maxConnections(common::ServiceName("s")), 26U);
  EXPECT_EQ(Table->limits().MaxBodyBytes, 200U);
  EXPECT_EQ(Table->limits().IdleTimeout, std::chrono::milliseconds(400));
}

} // namespace acaciacross::adapter
