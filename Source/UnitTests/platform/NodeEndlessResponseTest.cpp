#include "NodeTrafficFixture.h"

#include <regex>

namespace acaciacross::adapter {

/// Searchers that send bytes that are no answer, without end.
class NodeEndlessResponseTest : public NodeTrafficFixture {
protected:
  static constexpr std::size_t MemoryBytes = std::size_t{16} << 20;
  // One read and the growth of one buffer beyond the bound.
  static constexpr std::size_t Slack = std::size_t{2} << 20;

  void SetUp() override {
    this->Settings.MemoryBytes = MemoryBytes;
    NodeTrafficFixture::SetUp();
  }

  std::size_t peakBytes() const {
    const std::string Page = this->metrics();
    std::smatch Match;
    const std::regex Line("acaciacross_response_buffer_peak_bytes ([0-9]+)");
    EXPECT_TRUE(std::regex_search(Page, Match, Line)) << Page;
    return std::stoul(Match[1]);
  }

  /// Waits until no response is buffered. Abandoned attempts may go on for a
  /// second.
  bool isReleased() const {
    for (int I = 0; I < 300; ++I) {
      if (contains(this->metrics(), "acaciacross_response_buffer_bytes 0\n"))
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return false;
  }

  /// A body that is announced as much longer than the bytes that are sent.
  static std::string makeEndlessBody() {
    return "HTTP/1.1 200 OK\r\nX-Server-Stamp: t\r\nX-Request-Id: r1\r\n"
           "Content-Length: 1000000000\r\n\r\n" +
           std::string(std::size_t{1} << 20, 'x');
  }
};

// A hundred bodies of a megabyte would be several times the memory of the VM.
TEST_F(NodeEndlessResponseTest, BodiesOfManySearchersStayWithinTheBound) {
  std::vector<common::ServiceName> Shards;
  for (int I = 0; I < 100; ++I) {
    Shards.emplace_back("e" + std::to_string(I));
    this->addSearcher(
        Shards.back().Value,
        [](std::size_t, const std::string &) { return makeEndlessBody(); });
  }
  this->addSearcher("p", [](std::size_t, const std::string &) {
    return makeResponse("good");
  });
  this->ExtraShards = Shards;
  this->publishConfiguration();
  std::thread Query([this] {
    const std::string Answer = this->sendRequest("GET /extra/x");
    EXPECT_FALSE(contains(Answer, "200 OK")) << Answer;
  });
  for (int I = 0; I < 20; ++I)
    EXPECT_TRUE(this->sendRequest("GET /safe/x").ends_with("good"));
  Query.join();
  EXPECT_GT(this->peakBytes(), 0U);
  EXPECT_LE(this->peakBytes(), MemoryBytes / 4 + Slack);
  EXPECT_TRUE(this->isReleased());
}

TEST_F(NodeEndlessResponseTest, CallerGetsTheAnswerOfAnotherSearcher) {
  for (const std::string &Bytes :
       {makeEndlessBody(), "HTTP/1.1 200 OK\r\nX-Endless: " +
                               std::string(std::size_t{1} << 18, 'h')})
    this->addSearcher(
        "p", [Bytes](std::size_t, const std::string &) { return Bytes; });
  this->addSearcher("p", [](std::size_t, const std::string &) {
    return makeResponse("good");
  });
  this->publishConfiguration();
  std::size_t Good = 0;
  for (int I = 0; I < 12; ++I)
    Good += this->sendRequest("GET /safe/x").ends_with("good") ? 1 : 0;
  // The first requests may spend both of their attempts on the others.
  EXPECT_GE(Good, 9U);
}

// Each message is complete and small, so only their number is a bound.
TEST_F(NodeEndlessResponseTest, EndlessInterimResponsesEndTheAttempt) {
  std::string Interim;
  for (int I = 0; I < 1'000; ++I)
    Interim += "HTTP/1.1 100 Continue\r\n\r\n";
  this->addSearcher(
      "p", [Interim](std::size_t, const std::string &) { return Interim; });
  this->publishConfiguration();
  const auto Begin = std::chrono::steady_clock::now();
  EXPECT_TRUE(contains(this->sendRequest("POST /plain/x", "b"), "502"));
  EXPECT_LT(std::chrono::steady_clock::now() - Begin,
            std::chrono::milliseconds(800))
      << "not kept until the deadline";
}

TEST_F(NodeEndlessResponseTest, BytesAfterACompleteAnswerReachNoCaller) {
  this->addSearcher("p", [](std::size_t, const std::string &) {
    return makeResponse("good") + std::string(100'000, 'x');
  });
  this->publishConfiguration();
  for (int I = 0; I < 5; ++I)
    EXPECT_TRUE(this->sendRequest("GET /safe/x").ends_with("good"));
}

} // namespace acaciacross::adapter
