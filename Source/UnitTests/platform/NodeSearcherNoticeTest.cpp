#include "NodeTrafficFixture.h"

#include <atomic>

namespace acaciacross::adapter {

/// Two searchers, of which the first says something of itself in its answers.
class NodeSearcherNoticeTest : public NodeTrafficFixture {
protected:
  void startSearchers(const Upstream::Responder &FirstAnswer) {
    this->First = &this->addSearcher("p", FirstAnswer);
    this->addSearcher("p", [](std::size_t, const std::string &) {
      return makeResponse("second");
    });
    this->publishConfiguration();
  }

  /// Sends requests until the first searcher has had one.
  void sendUntilFirstIsAsked() {
    for (int I = 0; I < 200 && this->First->requests().empty(); ++I)
      this->sendRequest("GET /safe/x");
    ASSERT_FALSE(this->First->requests().empty());
  }

  std::size_t askedAfter(int Requests) {
    const std::size_t Before = this->First->requests().size();
    for (int I = 0; I < Requests; ++I)
      this->sendRequest("GET /safe/x");
    return this->First->requests().size() - Before;
  }

  Upstream *First = nullptr;
};

// The answer itself is whole and passed on.
TEST_F(NodeSearcherNoticeTest, SearcherThatSaysItLeavesGetsNoFurtherRequest) {
  this->startSearchers([](std::size_t, const std::string &) {
    return makeResponse("first", "Server-Leaving: 1\r\n");
  });
  this->sendUntilFirstIsAsked();
  EXPECT_EQ(this->askedAfter(60), 0U);
  EXPECT_TRUE(contains(this->metrics(), "acaciacross_searchers_leaving 1\n"));
}

// A late duplicate is discarded, but what it says of its searcher holds.
TEST_F(NodeSearcherNoticeTest, DiscardedAnswerTellsThatItsSearcherLeaves) {
  this->startSearchers([](std::size_t, const std::string &) {
    std::string Duplicate = makeResponse("wrong", "Server-Leaving: 1\r\n");
    Duplicate.replace(Duplicate.find("r1"), 2, "r0");
    return Duplicate + makeResponse("first");
  });
  this->sendUntilFirstIsAsked();
  EXPECT_EQ(this->askedAfter(60), 0U);
}

TEST_F(NodeSearcherNoticeTest, SearcherThatAsksForTimeGetsNothingUntilThen) {
  this->startSearchers([](std::size_t Index, const std::string &) {
    return Index == 0 ? std::string("HTTP/1.1 503 Busy\r\nX-Request-Id: r1\r\n"
                                    "X-Not-Executed: 1\r\nRetry-After: 0.6\r\n"
                                    "Content-Length: 0\r\n\r\n")
                      : makeResponse("first");
  });
  this->sendUntilFirstIsAsked();
  const auto Begin = std::chrono::steady_clock::now();
  std::size_t Asked = 0;
  while (std::chrono::steady_clock::now() - Begin <
         std::chrono::milliseconds(400))
    Asked += this->askedAfter(1);
  EXPECT_EQ(Asked, 0U);
  EXPECT_TRUE(contains(this->metrics(), "acaciacross_searchers_paused 1\n"));
  while (Asked == 0 && std::chrono::steady_clock::now() - Begin <
                           std::chrono::milliseconds(20'000))
    Asked += this->askedAfter(1);
  EXPECT_GT(Asked, 0U) << "the searcher is used again after its pause";
}

// Requests that wait for a connection must not wait until their deadline when
// the searcher asks for time meanwhile.
TEST_F(NodeSearcherNoticeTest, WaitingRequestsAreRefusedWhenAPauseBegins) {
  constexpr std::size_t FastAnswers = 30;
  this->addSearcher("p", [](std::size_t Index, const std::string &) {
    if (Index < FastAnswers)
      return makeResponse("fast");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    return std::string("HTTP/1.1 503 Busy\r\nX-Request-Id: r1\r\n"
                       "X-Not-Executed: 1\r\nRetry-After: 5\r\n"
                       "Content-Length: 0\r\n\r\n");
  });
  this->publishConfiguration();
  // Requests are only queued once the service is known to be fast.
  for (std::size_t I = 0; I < FastAnswers; ++I)
    this->sendRequest("GET /safe/x");
  std::atomic<int> RefusedInTime{0};
  constexpr int CallerCount = 16;
  std::vector<std::jthread> Callers;
  Callers.reserve(CallerCount);
  for (int I = 0; I < CallerCount; ++I)
    Callers.emplace_back([&] {
      const auto Begin = std::chrono::steady_clock::now();
      const std::string Answer = this->sendRequest("GET /safe/x");
      const bool IsInTime = std::chrono::steady_clock::now() - Begin <
                            std::chrono::milliseconds(600);
      if (IsInTime && contains(Answer, "503") &&
          (contains(Answer, "Retry-After: 4.9") ||
           contains(Answer, "Retry-After: 5.0")))
        ++RefusedInTime;
    });
  Callers.clear();
  EXPECT_EQ(RefusedInTime, CallerCount);
}

} // namespace acaciacross::adapter
