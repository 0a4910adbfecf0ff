#include "NodeTrafficFixture.h"

#include <array>

namespace acaciacross::adapter {

using std::chrono::milliseconds;

using NodeTrafficTest = NodeTrafficFixture;

// Without routes a request must be refused with a time to retry, not reported
// as a path without a route.
TEST_F(NodeTrafficTest, RequestBeforeTheFirstConfigurationIsRefused) {
  const std::string Answer = this->sendRequest("GET /plain/x");
  EXPECT_TRUE(contains(Answer, "503")) << Answer;
  EXPECT_TRUE(contains(Answer, "Retry-After")) << Answer;
}

// Guards against rewritten targets, bodies or stamps.
TEST_F(NodeTrafficTest, RequestAndAnswerPassUnchanged) {
  Upstream &Searcher =
      this->addSearcher("p", [](std::size_t, const std::string &) {
        return makeResponse("bytes");
      });
  this->publishConfiguration();
  const std::string Answer = this->sendRequest("POST /plain/a%20b?c=d", "body");
  EXPECT_TRUE(contains(Answer, "200")) << Answer;
  EXPECT_TRUE(contains(Answer, "X-Server-Stamp: t-bytes")) << Answer;
  ASSERT_EQ(Searcher.requests().size(), 1U);
  const std::string Sent = Searcher.requests().front();
  EXPECT_TRUE(contains(Sent, "POST /plain/a%20b?c=d HTTP/1.1\r\n")) << Sent;
  EXPECT_TRUE(contains(Sent, "X-Expect-Instance: i-1\r\n")) << Sent;
  EXPECT_TRUE(Sent.ends_with("\r\n\r\nbody")) << Sent;
}

TEST_F(NodeTrafficTest, QueryMergesAnswersOfShards) {
  this->addSearcher("s0", [](std::size_t, const std::string &) {
    return makeResponse(std::string(16, 'a'));
  });
  this->addSearcher("s1", [](std::size_t, const std::string &) {
    return makeResponse(std::string(16, 'b') + "xx");
  });
  this->publishConfiguration();
  const std::string Answer = this->sendRequest("GET /all/x");
  EXPECT_TRUE(contains(Answer, "X-Missing-Parts: 0")) << Answer;
  EXPECT_TRUE(Answer.ends_with(std::string(16, 'b') + std::string(16, 'a')))
      << Answer;
}

// A duplicate answer to an earlier request on the same connection must not
// reach the caller of the next request.
TEST_F(NodeTrafficTest, AnswerToAnotherRequestIsDiscarded) {
  this->addSearcher("p", [](std::size_t, const std::string &) {
    std::string Duplicate = makeResponse("wrong");
    Duplicate.replace(Duplicate.find("r1"), 2, "r0");
    return Duplicate + makeResponse("right");
  });
  this->publishConfiguration();
  const std::string Answer = this->sendRequest("GET /safe/x");
  EXPECT_TRUE(Answer.ends_with("right")) << Answer;
}

// A truncated body must not reach the caller as a complete answer.
TEST_F(NodeTrafficTest, TruncatedAnswerIsNotForwarded) {
  this->addSearcher("p", [](std::size_t Index, const std::string &) {
    // The empty string closes the connection after the truncated answer.
    return Index == 0 ? "HTTP/1.1 200 OK\r\nX-Server-Stamp: t\r\n"
                        "Connection: close\r\nContent-Length: 9\r\n\r\ncut"
                      : std::string();
  });
  this->publishConfiguration();
  const std::string Answer = this->sendRequest("POST /plain/x", "b");
  EXPECT_FALSE(contains(Answer, "200")) << Answer;
  EXPECT_FALSE(contains(Answer, "cut")) << Answer;
}

// An HTTP client such as libcurl repeats a request on its own when a reused
// connection turns out to be closed. A request that must not be repeated could
// then run twice.
TEST_F(NodeTrafficTest, UnrepeatableRequestOnClosedConnectionIsSentOnce) {
  Upstream &Searcher =
      this->addSearcher("p", [](std::size_t Index, const std::string &) {
        return Index == 0 ? makeResponse("first") : std::string();
      });
  this->publishConfiguration();
  EXPECT_TRUE(contains(this->sendRequest("POST /plain/1", "b"), "200"));
  EXPECT_TRUE(contains(this->sendRequest("POST /plain/2", "b"), "502"));
  EXPECT_EQ(Searcher.requests().size(), 2U);
}

TEST_F(NodeTrafficTest,
       RepeatableRequestGoesToAnotherSearcherAfterClosedConnection) {
  this->addSearcher(
      "p", [](std::size_t, const std::string &) { return std::string(); });
  this->addSearcher("p", [](std::size_t, const std::string &) {
    return makeResponse("good");
  });
  this->publishConfiguration();
  for (int I = 0; I < 8; ++I)
    EXPECT_TRUE(this->sendRequest("GET /safe/x").ends_with("good"));
}

// The body must reach the caller as the searcher's own bytes, so one with a
// content coding is not passed on.
TEST_F(NodeTrafficTest, BodyWithContentEncodingIsNotForwarded) {
  this->addSearcher("p", [](std::size_t, const std::string &) {
    return makeResponse("packed", "Content-Encoding: gzip\r\n");
  });
  this->publishConfiguration();
  EXPECT_TRUE(contains(this->sendRequest("POST /plain/x", "b"), "502"));
}

// A searcher that closed in the middle of its head led to an empty answer that
// looked complete.
TEST_F(NodeTrafficTest, AnswerThatIsCutInItsHeadIsNotForwarded) {
  const std::string Head = "HTTP/1.1 200 OK\r\nX-Server-Stamp: t\r\n"
                           "X-Request-Id: r1\r\n\r\n";
  Upstream &Searcher =
      this->addSearcher("p", [&Head](std::size_t Index, const std::string &) {
        return Head.substr(0, Index + 1) + std::string(Upstream::CloseMark);
      });
  this->publishConfiguration();
  std::size_t Failed = 0;
  for (std::size_t I = 0; I < 2 * Head.size(); ++I) {
    const std::string Answer = this->sendRequest("POST /plain/x", "b");
    Failed += contains(Answer, " 502 ") ? 1 : 0;
    EXPECT_TRUE(contains(Answer, " 502 ") || contains(Answer, " 503 "))
        << Answer;
    if (Searcher.requests().size() + 1 == Head.size())
      break;
  }
  // A request that reached the searcher may have run, so it is not refused.
  EXPECT_EQ(Failed, Searcher.requests().size());
  EXPECT_EQ(Failed + 1, Head.size());
}

// A status line without a valid status code was written to the caller as it
// was.
TEST_F(NodeTrafficTest, AnswerWithAnInvalidStatusIsNotForwarded) {
  static constexpr std::array<const char *, 4> Statuses{"20", "2 00", "0",
                                                        "999"};
  this->addSearcher("p", [](std::size_t Index, const std::string &) {
    return "HTTP/1.1 " + std::string(Statuses.at(Index % Statuses.size())) +
           " OK\r\nX-Request-Id: r1\r\nX-Server-Stamp: t\r\n"
           "Content-Length: 3\r\n\r\nbad";
  });
  this->publishConfiguration();
  for (std::size_t I = 0; I < Statuses.size(); ++I)
    EXPECT_TRUE(contains(this->sendRequest("POST /plain/x", "b"), "502"));
}

// A searcher must not continue to work for a caller that has disconnected.
TEST_F(NodeTrafficTest, DisconnectedCallerClosesConnectionToSearcher) {
  Upstream &Searcher =
      this->addSearcher("p", [](std::size_t, const std::string &) {
        std::this_thread::sleep_for(milliseconds(300));
        return makeResponse("late");
      });
  this->publishConfiguration();
  {
    frontend::RawCaller Caller(this->Settings.CallerAddress);
    Caller.send(makeRequest("GET /safe/x", ""));
    while (Searcher.requests().empty())
      std::this_thread::sleep_for(milliseconds(5));
  }
  const auto Begin = std::chrono::steady_clock::now();
  while (Searcher.closedByPeerCount() == 0 &&
         std::chrono::steady_clock::now() - Begin < milliseconds(2'000))
    std::this_thread::sleep_for(milliseconds(5));
  EXPECT_EQ(Searcher.closedByPeerCount(), 1U);
}

TEST_F(NodeTrafficTest, RequestWithoutRouteIsNotFound) {
  this->publishConfiguration();
  EXPECT_TRUE(contains(this->sendRequest("GET /nothing/x"), "404"));
}

TEST_F(NodeTrafficTest, OversizedAndMalformedRequestsAreRefused) {
  this->publishConfiguration();
  const std::string Large =
      this->sendRequest("GET /plain/" + std::string(3'000, 'x'));
  EXPECT_TRUE(contains(Large, "431")) << Large;
  EXPECT_TRUE(contains(
      this->sendRequest("POST /plain/x", std::string(1'500, 'x')), "413"));
  EXPECT_TRUE(contains(this->sendRequest("GARBAGE"), "400"));
}

} // namespace acaciacross::adapter
