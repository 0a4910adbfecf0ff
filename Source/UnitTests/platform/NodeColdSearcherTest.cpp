#include "NodeTrafficFixture.h"

namespace acaciacross::adapter {

/// A VM that does not know the fleet yet, and searchers of a service that
/// states what they tolerate while cold.
class NodeColdSearcherTest : public NodeTrafficFixture {
protected:
  NodeColdSearcherTest() {
    this->ColdStarts[common::ServiceName("p")] = {
        std::chrono::milliseconds(3'000), 10.0};
  }
};

TEST_F(NodeColdSearcherTest, ColdSearcherGetsNothingFromAVmWithoutAShare) {
  Upstream &Cold = this->addSearcher("p", [](std::size_t, const std::string &) {
    return makeResponse("cold");
  });
  this->Searchers.front().ColdLeft = std::chrono::milliseconds(60'000);
  this->publishConfiguration();
  const std::string Answer = this->sendRequest("GET /safe/x");
  EXPECT_TRUE(contains(Answer, "503")) << Answer;
  EXPECT_TRUE(contains(Answer, "Retry-After: 59") ||
              contains(Answer, "Retry-After: 60"))
      << Answer;
  EXPECT_TRUE(Cold.requests().empty());
  const std::string Metrics = this->metrics();
  EXPECT_TRUE(contains(Metrics, "acaciacross_searchers_cold 1\n"));
  EXPECT_TRUE(contains(Metrics, "acaciacross_cold_withheld_total 1\n"));
}

// A line for each request would hide the others.
TEST_F(NodeColdSearcherTest, ColdAndWarmAgainAreLoggedOnce) {
  this->addSearcher("p", [](std::size_t, const std::string &) {
    return makeResponse("any");
  });
  this->Searchers.front().ColdLeft = std::chrono::milliseconds(60'000);
  this->publishConfiguration();
  for (int I = 0; I < 10; ++I)
    this->sendRequest("GET /safe/x");
  this->publishConfiguration();
  this->Searchers.front().ColdLeft = std::chrono::milliseconds(0);
  this->publishConfiguration();
  // The traffic thread takes over both asynchronously.
  for (int I = 0; I < 1'000; ++I)
    if (this->Log.count(common::LogEvent::SearcherWarm) == 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
  EXPECT_TRUE(contains(this->metrics(), "acaciacross_searchers_cold 0\n"));
  EXPECT_EQ(this->Log.count(common::LogEvent::SearcherCold), 1U);
  EXPECT_EQ(this->Log.count(common::LogEvent::SearcherWarm), 1U);
}

// A searcher may turn cold at any moment; the store tells it seconds later.
TEST_F(NodeColdSearcherTest, AnswerTellsThatItsSearcherIsCold) {
  Upstream &Cold = this->addSearcher("p", [](std::size_t, const std::string &) {
    return makeResponse("cold", "X-Cold-Remaining: 60000\r\n");
  });
  this->publishConfiguration();
  EXPECT_TRUE(contains(this->sendRequest("GET /safe/x"), "200"));
  for (int I = 0; I < 10; ++I)
    EXPECT_TRUE(contains(this->sendRequest("GET /safe/x"), "503"));
  EXPECT_EQ(Cold.requests().size(), 1U);
}

// A searcher that restarts quickly accepts connections before its entry
// changes.
TEST_F(NodeColdSearcherTest, SearcherThatCannotBeConnectedToMayReturnCold) {
  forwarding::SearcherEntry Stopped;
  Stopped.Id = common::SearcherId("i-1");
  Stopped.Service = common::ServiceName("p");
  Stopped.Endpoint = testsupport::findFreeAddress();
  this->Searchers.push_back(Stopped);
  this->publishConfiguration();
  EXPECT_TRUE(contains(this->sendRequest("GET /safe/x"), "503"));
  EXPECT_TRUE(contains(this->metrics(), "acaciacross_searchers_cold 1\n"));
}

TEST_F(NodeColdSearcherTest, ServiceWithoutToleranceIsUsedWhileCold) {
  this->ColdStarts.clear();
  this->addSearcher("p", [](std::size_t, const std::string &) {
    return makeResponse("cold", "X-Cold-Remaining: 60000\r\n");
  });
  this->Searchers.front().ColdLeft = std::chrono::milliseconds(60'000);
  this->publishConfiguration();
  for (int I = 0; I < 10; ++I)
    EXPECT_TRUE(contains(this->sendRequest("GET /safe/x"), "200"));
}

} // namespace acaciacross::adapter
