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
  const auto Decoded = this->decode("servers/i-1", this->Entry);
  EXPECT_EQ(Decoded.Sequence, 4);
  const auto Item = Decoded.Searcher;
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

// A value that is cut to fewer bits or overflows would count as another one.
TEST_F(StoreItemDecoderTest, EntryWithNumberOutOfRangeIsReported) {
  for (const auto &[From, To] :
       {std::pair{"\"slots\":2", "\"slots\":4294967298"},
        std::pair{"\"slots\":2", "\"slots\":0"},
        std::pair{"\"slots\":2", "\"slots\":1e400"},
        std::pair{"\"slots\":2", "\"slots\":1.5"},
        std::pair{"\"cold_left_ms\":7", "\"cold_left_ms\":9223372036854775807"},
        std::pair{"\"cold_left_ms\":7", "\"cold_left_ms\":-1"},
        std::pair{"\"seq\":4", "\"seq\":99999999999999999999"},
        std::pair{"\"born\":99", "\"born\":-1"},
        std::pair{"10.0.0.9:80", "10.0.0.9:0"},
        std::pair{"10.0.0.9:80", "10.0.0.9:65536"},
        std::pair{"10.0.0.9:80", "10.0.0.9:-1"},
        std::pair{"10.0.0.9:80", "10.0.0.9:99999999999"}}) {
    const auto Item =
        this->decode("servers/i-1", replaceFirst(this->Entry, From, To));
    EXPECT_FALSE(Item.Searcher) << To;
    EXPECT_FALSE(Item.Problem.empty()) << To;
  }
}

TEST_F(StoreItemDecoderTest, ProblemNamesFieldValueAndRange) {
  EXPECT_EQ(this->decode("servers/i-1", replaceFirst(this->Entry, "\"slots\":2",
                                                     "\"slots\":4294967296"))
                .Problem,
            "slots is 4294967296; allowed: a number from 1 to 65536");
}

// The id and the service are written into headers, log lines and labels of
// metrics; a line break in them would start a request of its own.
TEST_F(StoreItemDecoderTest, NamesWithControlCharactersAreReported) {
  for (const std::string &Id :
       {std::string("x\r\nX-Request-Id: 1"), std::string("a b"),
        std::string(1, '\0'), std::string("\xc3\xa9"), std::string()}) {
    const auto Item = this->decode("servers/" + Id, this->Entry);
    EXPECT_FALSE(Item.Searcher) << Id;
    EXPECT_FALSE(Item.Problem.empty()) << Id;
  }
  EXPECT_FALSE(
      this->decode("servers/i-1", replaceFirst(this->Entry, "\"service\":\"s\"",
                                               R"("service":"s\r\nX: 1")"))
          .Searcher);
}

// A recursive parser or writer would overflow the stack.
TEST_F(StoreItemDecoderTest, DeeplyNestedValueIsReported) {
  constexpr std::size_t Depth = 500'000;
  std::string Objects;
  for (std::size_t I = 0; I < Depth; ++I)
    Objects += "{\"a\":";
  EXPECT_FALSE(
      this->decode("servers/i-1", std::string(Depth, '[')).Problem.empty());
  EXPECT_FALSE(this->decode("servers/i-1", Objects).Problem.empty());
  const std::string Nested = std::string(Depth, '[') + std::string(Depth, ']');
  EXPECT_FALSE(this->decode("servers/i-1", Nested).Problem.empty());
  const auto InField =
      this->decode("servers/i-1", replaceFirst(this->Entry, "\"slots\":2",
                                               "\"slots\":" + Nested));
  EXPECT_EQ(InField.Problem,
            "slots is an array; allowed: a number from 1 to 65536");
}

// One route that cannot be used must not take the others away.
TEST_F(StoreItemDecoderTest, RouteWithInvalidFieldIsLeftOut) {
  for (const auto &[From, To] :
       {std::pair{"\"timeout_ms\":1000", "\"timeout_ms\":-1"},
        std::pair{"\"timeout_ms\":1000", "\"timeout_ms\":4e18"},
        std::pair{"\"latency_target_ms\":120", "\"latency_target_ms\":\"x\""},
        std::pair{"\"max_attempts\":2", "\"max_attempts\":4294967297"},
        std::pair{"\"top_k\":10", "\"top_k\":-3"},
        std::pair{"\"min_coverage\":0.5", "\"min_coverage\":1.5"},
        std::pair{"\"min_coverage\":0.5", "\"min_coverage\":-1"},
        std::pair{"[\"s\",\"t\"]", "[\"s\",\"s\"]"},
        std::pair{"[\"s\",\"t\"]", "[\"s\",7]"},
        std::pair{"\"priority\":1", "\"priority\":9223372036854775807"}}) {
    const auto Item =
        this->decode("op/config", replaceFirst(this->Routes, From, To));
    ASSERT_NE(Item.Table, nullptr) << To;
    EXPECT_EQ(Item.Table->match("h", "/q/1"), nullptr) << To;
    EXPECT_NE(Item.Table->match("h", "/p/1"), nullptr) << To;
    EXPECT_EQ(Item.LeftOut.size(), 1U) << To;
  }
}

TEST_F(StoreItemDecoderTest, RouteCarriesItsHomes) {
  const auto Table =
      this->decode(
              "op/config",
              replaceFirst(this->Routes, "\"priority\":1",
                           R"("priority":1,"allowed_regions":["r1","r2"])"))
          .Table;
  ASSERT_NE(Table, nullptr);
  const std::vector<std::string> Homes{"r1", "r2"};
  EXPECT_EQ(Table->match("h", "/q/1")->AllowedRegions, Homes);
  EXPECT_TRUE(Table->match("h", "/p/1")->AllowedRegions.empty());
  EXPECT_EQ(Table->homesOf("h"), Homes);
}

// A guess at what the list means could send requests where they must not go.
TEST_F(StoreItemDecoderTest, RouteWithOddHomesIsLeftOut) {
  for (const std::string &Homes :
       {std::string("\"r1\""), std::string("7"), std::string("{}"),
        std::string("[7]"), std::string("[\"\"]"), std::string("[\"a b\"]"),
        std::string("[\"r1\",null]"), std::string("[[\"r1\"]]"),
        "[\"" + std::string(201, 'r') + "\"]"}) {
    const auto Item = this->decode(
        "op/config",
        replaceFirst(this->Routes, "\"priority\":1",
                     "\"priority\":1,\"allowed_regions\":" + Homes));
    ASSERT_NE(Item.Table, nullptr) << Homes;
    EXPECT_EQ(Item.Table->match("h", "/q/1"), nullptr) << Homes;
    EXPECT_NE(Item.Table->match("h", "/p/1"), nullptr) << Homes;
    ASSERT_EQ(Item.LeftOut.size(), 1U) << Homes;
    EXPECT_NE(Item.LeftOut.front().find("allowed_regions"), std::string::npos);
  }
}

// The version before stays in effect.
TEST_F(StoreItemDecoderTest, RoutingTableThatIsInvalidAsAWholeIsReported) {
  for (const auto &[From, To] :
       {std::pair{"\"version\":7", "\"version\":-7"},
        std::pair{"\"version\":7", "\"version\":1e30"},
        std::pair{"\"routes\":[", "\"paths\":["},
        std::pair{"\"max_body_bytes\":200", "\"max_body_bytes\":-200"},
        std::pair{"\"idle_timeout_ms\":400",
                  "\"idle_timeout_ms\":9223372036854775807"}}) {
    const auto Item =
        this->decode("op/config", replaceFirst(this->Routes, From, To));
    EXPECT_EQ(Item.Table, nullptr) << To;
    EXPECT_FALSE(Item.Problem.empty()) << To;
  }
}

// The operator may write any value.
TEST_F(StoreItemDecoderTest, EvacuationKeyNamesAFailureDomain) {
  for (const char *Value : {"{}", "", "[", R"({"zone":"z2"})"}) {
    const auto Item = this->decode("op/evacuate/z-1", Value);
    EXPECT_EQ(Item.EvacuatedDomain, "z-1") << Value;
    EXPECT_EQ(Item.Problem, "") << Value;
  }
  EXPECT_TRUE(this->Decoder.isUsed("op/evacuate/z-1"));
  EXPECT_EQ(this->decode("op/evacuated/z-1", "{}").EvacuatedDomain, "");
}

TEST_F(StoreItemDecoderTest, EvacuationKeyWithOddNameIsReported) {
  for (const std::string &Name :
       {std::string(), std::string("a b"), std::string("z\r\nX: 1"),
        std::string("\xff\xfe"), std::string(189, 'z')}) {
    const std::string Key = "op/evacuate/" + Name;
    const auto Item = this->decode(Key, "{}");
    EXPECT_EQ(Item.EvacuatedDomain, "") << Name;
    EXPECT_NE(Item.Problem.find("allowed: 1 to 188"), std::string::npos)
        << Item.Problem;
    EXPECT_FALSE(this->Decoder.isUsed(Key)) << Name;
  }
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

TEST_F(StoreItemDecoderTest, RoutingTableCarriesToleranceOfColdSearchers) {
  const auto Table =
      this->decode("op/config",
                   replaceFirst(this->Routes, "\"max_conns\":26",
                                "\"max_conns\":26,\"cold_start_s\":2.5,"
                                "\"cold_per_s\":12.5"))
          .Table;
  ASSERT_NE(Table, nullptr);
  const auto *ColdStart = Table->coldStart(common::ServiceName("s"));
  ASSERT_NE(ColdStart, nullptr);
  EXPECT_EQ(ColdStart->Duration, std::chrono::milliseconds(2'500));
  EXPECT_EQ(ColdStart->RequestsPerSecond, 12.5);
}

// Other deployments state no tolerance and must be used as before.
TEST_F(StoreItemDecoderTest, ServiceWithoutColdRateHasNoTolerance) {
  for (const char *Fields :
       {"", ",\"cold_per_s\":0", ",\"cold_start_s\":3,\"cold_per_s\":0.0",
        ",\"cold_start_s\":3"}) {
    const auto Item = this->decode(
        "op/config", replaceFirst(this->Routes, "\"max_conns\":26",
                                  std::string("\"max_conns\":26") + Fields));
    ASSERT_NE(Item.Table, nullptr) << Fields;
    EXPECT_TRUE(Item.LeftOut.empty()) << Fields;
    EXPECT_EQ(Item.Table->coldStart(common::ServiceName("s")), nullptr)
        << Fields;
  }
}

// The service and its other limits must stay in use.
TEST_F(StoreItemDecoderTest, InvalidToleranceIsLeftOutAlone) {
  for (const char *Field :
       {"\"cold_per_s\":-1", "\"cold_per_s\":\"x\"", "\"cold_per_s\":1e300",
        "\"cold_per_s\":[1]", "\"cold_start_s\":-0.5", "\"cold_start_s\":1e12",
        "\"cold_start_s\":\"NaN\""}) {
    const auto Item = this->decode(
        "op/config", replaceFirst(this->Routes, "\"max_conns\":26",
                                  std::string("\"max_conns\":26,") + Field));
    ASSERT_NE(Item.Table, nullptr) << Field;
    ASSERT_EQ(Item.LeftOut.size(), 1U) << Field;
    EXPECT_NE(Item.LeftOut.front().find("allowed"), std::string::npos);
    EXPECT_EQ(*Item.Table->maxConnections(common::ServiceName("s")), 26U);
    EXPECT_EQ(Item.Table->coldStart(common::ServiceName("s")), nullptr)
        << Field;
  }
}

} // namespace acaciacross::adapter
