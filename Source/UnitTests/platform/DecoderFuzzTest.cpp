#include "platform/CallerCodec.h"
#include "platform/SearcherCodec.h"
#include "platform/SettingsDecoder.h"
#include "platform/StoreItemDecoder.h"

#include "Common/Error.h"
#include "Common/SeededRandom.h"
#include "Http/RequestParser.h"
#include "Http/ResponseParser.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

namespace acaciacross::adapter {

/// Changes valid inputs at random and decodes them. Decoders must refuse or
/// accept them, with accepted values in their ranges. The environment variable
/// FUZZ_RUNS sets the number of inputs of each decoder.
class DecoderFuzzTest : public testing::Test {
protected:
  static constexpr int DefaultRuns = 4'000;

  static int runs() {
    const char *Text = std::getenv("FUZZ_RUNS");
    return Text == nullptr ? DefaultRuns : std::atoi(Text);
  }

  /// Replaces, inserts, removes or repeats parts of the text.
  std::string mutate(std::string Text) {
    static const std::vector<std::string> Parts = {"-1",
                                                   "0",
                                                   "1e400",
                                                   "9223372036854775808",
                                                   "4294967296",
                                                   "null",
                                                   "[",
                                                   "{",
                                                   "}",
                                                   "\"",
                                                   "\\u0000",
                                                   "\r\n",
                                                   ",",
                                                   ":",
                                                   "\xff",
                                                   "1.5",
                                                   "true",
                                                   "[[[[",
                                                   "-0",
                                                   "NaN",
                                                   "18446744073709551616",
                                                   "65536",
                                                   "\t",
                                                   "0x1",
                                                   "1e-9",
                                                   "99999999999999999999999"};
    const std::size_t Changes = 1 + this->Random.below(4);
    for (std::size_t I = 0; I < Changes; ++I) {
      const std::size_t At = this->Random.below(Text.size() + 1);
      const std::size_t Length =
          std::min<std::size_t>(this->Random.below(9), Text.size() - At);
      switch (this->Random.below(4)) {
      case 0:
        Text.replace(At, Length, Parts[this->Random.below(Parts.size())]);
        break;
      case 1:
        Text.erase(At, Length);
        break;
      case 2:
        Text.insert(At, Text.substr(At, Length * 8));
        break;
      default:
        Text.insert(At, 1, static_cast<char>(this->Random.below(256)));
      }
    }
    return Text;
  }

  template <typename Message>
  void feed(Message &Parser, const std::string &Bytes) {
    std::string_view Rest = Bytes;
    while (!Rest.empty() && !Parser.isComplete() &&
           Parser.problem() == http::ParseProblem::None) {
      const std::size_t Length = 1 + this->Random.below(Rest.size());
      Rest.remove_prefix(Parser.feed(Rest.substr(0, Length)));
    }
    Parser.end();
  }

  common::SeededRandom Random{7};
};

TEST_F(DecoderFuzzTest, EntriesOfSearchersAreInRangeOrRefused) {
  const std::string Entry =
      R"({"service":"s","address":"10.0.0.9:80","zone":"z","version":"v1",)"
      R"("slots":2,"state":"ready","cold_left_ms":7,"seq":4,"born":99})";
  const StoreItemDecoder Decoder;
  int Accepted = 0;
  for (int I = 0; I < runs(); ++I) {
    const auto Item = Decoder.decode({"servers/i-1", this->mutate(Entry), 1});
    ASSERT_NE(Item.Searcher.has_value(), !Item.Problem.empty());
    if (!Item.Searcher)
      continue;
    ++Accepted;
    EXPECT_GE(Item.Searcher->Slots, 1U);
    EXPECT_LE(Item.Searcher->Slots, 65'536U);
    EXPECT_GE(Item.Searcher->ColdLeft.count(), 0);
    EXPECT_GE(Item.Searcher->StartedUnixMs, 0);
    EXPECT_NE(Item.Searcher->Endpoint.Port, 0);
  }
  EXPECT_GT(Accepted, 0);
}

TEST_F(DecoderFuzzTest, RoutingTablesAreInRangeOrRefused) {
  const std::string Routes =
      R"({"version":7,"routes":[)"
      R"({"name":"q","host":"h","prefix":"/q/","type":"idempotent",)"
      R"("timeout_ms":1000,"latency_target_ms":120,"priority":1,)"
      R"("gather":["s","t"],"max_attempts":2,"top_k":10,"min_coverage":0.5},)"
      R"({"name":"p","host":"h","prefix":"/p/","type":"non_idempotent",)"
      R"("timeout_ms":4000,"latency_target_ms":400,"priority":2,)"
      R"("split":[{"service":"u","weight":3},{"service":"v","weight":1}],)"
      R"("max_attempts":1}],"services":[{"name":"s","max_conns":26}],)"
      R"("limits":{"max_header_bytes":100,"max_body_bytes":200,)"
      R"("header_timeout_ms":300,"idle_timeout_ms":400}})";
  const StoreItemDecoder Decoder;
  for (int I = 0; I < runs(); ++I) {
    const auto Item = Decoder.decode({"op/config", this->mutate(Routes), 1});
    ASSERT_NE(Item.Table != nullptr, !Item.Problem.empty());
    if (Item.Table == nullptr)
      continue;
    for (const forwarding::Route &Route : Item.Table->routes()) {
      EXPECT_GE(Route.MaxAttempts, 1U);
      EXPECT_GE(Route.Timeout.count(), 1);
      ASSERT_TRUE(Route.Gather || !Route.Services.empty());
      if (Route.Gather) {
        EXPECT_LE(Route.Gather->minShards(), Route.Gather->Shards.size());
      }
    }
  }
}

TEST_F(DecoderFuzzTest, RequestsOfCallersAreParsedOrRefused) {
  const std::string Bytes =
      "POST /a/b?x=1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n"
      "X-Request-Deadline: 500\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\nbody\r\n0\r\n\r\n";
  const CallerCodec Codec;
  for (int I = 0; I < runs(); ++I) {
    http::RequestParser Parser(2'000, 1'000);
    this->feed(Parser, this->mutate(Bytes));
    if (!Parser.isComplete())
      continue;
    const http::Request Message = Parser.take();
    EXPECT_LE(Message.Body.size(), 1'000U);
    const auto Metadata = Codec.decode(Message);
    if (Metadata.TimeLeft) {
      EXPECT_GT(Metadata.TimeLeft->count(), 0);
    }
  }
}

TEST_F(DecoderFuzzTest, ResponsesOfSearchersAreParsedOrRefused) {
  const std::string Bytes =
      "HTTP/1.1 503 Busy\r\nX-Request-Id: r1\r\nX-Server-Stamp: t\r\n"
      "X-Server-Load: 3,0,8,100\r\nKeep-Alive: timeout=5, max=9\r\n"
      "Retry-After: 1.5\r\nServer-Leaving: 1\r\nContent-Length: 4\r\n\r\nbody";
  const SearcherCodec Codec;
  for (int I = 0; I < runs(); ++I) {
    http::ResponseParser Parser(2'000, 1'000);
    this->feed(Parser, this->mutate(Bytes));
    if (!Parser.isComplete())
      continue;
    const auto Metadata = Codec.decode(Parser.take());
    if (Metadata.Notice.Pause) {
      EXPECT_GT(Metadata.Notice.Pause->count(), 0);
      EXPECT_LE(*Metadata.Notice.Pause, std::chrono::hours(1));
    }
    if (Metadata.Load) {
      EXPECT_LE(Metadata.Load->Slots, 1'000'000U);
    }
  }
}

TEST_F(DecoderFuzzTest, SettingsAreDecodedOrRefusedWithAReason) {
  const std::string Text =
      "node = \"n1\"\nip = \"10.1.0.4\"\nzone = \"z\"\n"
      "internal_ports = [7420]\nseeds = [\"10.1.0.4:8224\"]\n"
      "[listen]\nfront = \"10.1.0.4:1\"\nready = \"10.1.0.4:2\"\n"
      "directory = \"10.1.0.4:3\"\n[limits]\ncpu_share = 0.5\ncores = 1\n"
      "memory_mb = 160\n[bounds]\nretry_budget_ratio = 0.2\n"
      "budget_min_retries = 5\nbudget_window_s = 10\ngrace_s = 6\n"
      "[platform]\naddress = \"10.2.0.1:80\"\n";
  ASSERT_EQ(SettingsDecoder::decode(Text, 9'464).Vm.Value, "n1");
  for (int I = 0; I < runs(); ++I)
    try {
      const auto Settings = SettingsDecoder::decode(this->mutate(Text), 9'464);
      EXPECT_GT(Settings.MemoryBytes, 0U);
      EXPECT_NE(Settings.PeerAddress.Port, 0);
    } catch (const common::Error &Error) {
      EXPECT_FALSE(std::string(Error.what()).empty());
    }
}

} // namespace acaciacross::adapter
