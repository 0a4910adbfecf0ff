#include "platform/StoreItemDecoder.h"

#include <gtest/gtest.h>

#include <string>

namespace acaciacross::adapter {

class StoreItemDecoderTest : public testing::Test {
protected:
  discovery::PublishedItem decode(const std::string &Key,
                                  const std::string &Value) const {
    return this->Decoder.decode({Key, Value, 1});
  }

  static std::string replaceFirst(std::string Text, const std::string &From,
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
  StoreItemDecoder Decoder;
};

TEST_F(StoreItemDecoderTest, EntryOfSearcherIsDecoded) {
  const auto Item = this->decode("servers/i-1", this->Entry).Searcher;
  ASSERT_TRUE(Item);
  EXPECT_EQ(Item->Id.Value, "i-1");
  EXPECT_EQ(Item->Service.Value, "s");
  EXPECT_EQ(Item->Endpoint.toString(), "10.0.0.9:80");
  EXPECT_EQ(Item->Slots, 2U);
  EXPECT_FALSE(Item->IsDraining);
  EXPECT_EQ(Item->ColdLeft, std::chrono::milliseconds(7));
  EXPECT_EQ(Item->StartedUnixMs, 99);
}

// Other programs write the entries, so an invalid one must not stop this VM.
TEST_F(StoreItemDecoderTest, EntryWithInvalidFieldIsReported) {
  for (const auto &[From, To] :
       {std::pair{"\"slots\":2", "\"slots\":\"2\""},
        std::pair{"\"state\":\"ready\"", "\"state\":\"asleep\""},
        std::pair{"10.0.0.9:80", "nowhere"},
        std::pair{"\"service\":\"s\",", ""}}) {
    const auto Item =
        this->decode("servers/i-1", replaceFirst(this->Entry, From, To));
    EXPECT_FALSE(Item.Searcher) << To;
    EXPECT_FALSE(Item.Problem.empty()) << To;
  }
}

TEST_F(StoreItemDecoderTest, InvalidJsonIsReported) {
  for (const char *Bytes : {"", "{", "[]", "\xff\xfe"})
    EXPECT_FALSE(this->decode("servers/i-1", Bytes).Problem.empty());
}

// The store also holds keys of other programs; they must not be reported.
TEST_F(StoreItemDecoderTest, OtherKeysAreIgnored) {
  const auto Item = this->decode("other/key", "{");
  EXPECT_TRUE(Item.Problem.empty());
  EXPECT_FALSE(Item.Searcher);
}

TEST_F(StoreItemDecoderTest, RoutingTableCarriesTargetsAndLimits) {
  const auto Table = this->decode("op/config", this->Routes).Table;
  ASSERT_NE(Table, nullptr);
  EXPECT_EQ(Table->version(), 7U);
  const forwarding::Route *QueryRoute = Table->match("h", "/q/1");
  ASSERT_NE(QueryRoute, nullptr);
  ASSERT_TRUE(QueryRoute->Gather);
  EXPECT_EQ(QueryRoute->Gather->Shards.size(), 2U);
  EXPECT_EQ(QueryRoute->Gather->TopRecords, 10U);
  EXPECT_EQ(QueryRoute->Repeat, forwarding::Repeatability::Repeatable);
  EXPECT_EQ(QueryRoute->LatencyTarget, std::chrono::milliseconds(120));
  const forwarding::Route *OnceRoute = Table->match("h", "/p/1");
  ASSERT_NE(OnceRoute, nullptr);
  EXPECT_EQ(OnceRoute->Repeat, forwarding::Repeatability::AtMostOnce);
  ASSERT_EQ(OnceRoute->Services.size(), 2U);
  EXPECT_EQ(OnceRoute->Services[0].Weight, 3.0);
  EXPECT_EQ(*Table->maxConnections(common::ServiceName("s")), 26U);
  EXPECT_EQ(Table->limits().MaxBodyBytes, 200U);
  EXPECT_EQ(Table->limits().IdleTimeout, std::chrono::milliseconds(400));
}

} // namespace acaciacross::adapter
