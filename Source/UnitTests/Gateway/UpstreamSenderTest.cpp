#include "Gateway/UpstreamSender.h"

#include "Common/SystemClock.h"
#include "UnitTests/Traffic/RawUpstream.h"

#include <gtest/gtest.h>

#include <fcntl.h>

#include <optional>

namespace acaciacross::gateway {

using std::chrono::milliseconds;

/// An attempt at one searcher, in the failure domain "z1", whose connection is
/// still being set up.
class UpstreamSenderTest : public testing::Test,
                           public forwarding::AttemptListener {
protected:
  class Protocol final : public SearcherProtocol {
  public:
    std::string encode(const forwarding::ForwardRequest &,
                       const forwarding::SearcherEntry &,
                       milliseconds) const override {
      return "GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";
    }
    ResponseMetadata decode(const http::Response &) const override {
      return {};
    }
  };

  void SetUp() override {
    this->Entry.Id = common::SearcherId("i-1");
    this->Entry.Service = this->Service;
    this->Entry.Endpoint = this->Searcher.endpoint();
    this->Entry.FailureDomain = "z1";
    this->Registry.setSearchers({this->Entry});
    this->Request->Target = &this->Target;
  }

  void start() {
    this->Sender.start(this->Request,
                       this->Registry.replicas(this->Service).front(),
                       std::make_shared<forwarding::RouteStatistics>(),
                       this->Loop.now() + milliseconds(1'000), *this);
  }

  /// Runs the loop until the listener is called, or until the time is over.
  void run(milliseconds Limit) {
    this->Loop.schedule(this->Loop.now() + Limit,
                        [this] { this->Loop.stop(); });
    this->Loop.run();
  }

  void onAttemptEnded(forwarding::AttemptNumber,
                      forwarding::AttemptResult Result) override {
    this->End = Result.End;
    this->Loop.stop();
  }

  void onConnectionAvailable(const common::ServiceName &) override {
    ++this->NotifiedCount;
    this->Loop.stop();
  }

  static constexpr milliseconds LongEnough{5'000};
  static constexpr milliseconds Moment{150};

  const common::ServiceName Service{"s"};
  common::SystemClock Time;
  net::EventLoop Loop{this->Time};
  logging::EventLog Log{this->Time, ::open("/dev/null", O_WRONLY)};
  traffic::RawUpstream Searcher{[](std::size_t, const std::string &) {
    return std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  }};
  forwarding::SearcherEntry Entry;
  forwarding::ServiceRegistry Registry{
      forwarding::RetryBudgetSettings{0.2, 1'000.0, milliseconds(10'000)}};
  Protocol Encoding;
  UpstreamSender Sender{this->Loop, this->Registry, this->Encoding, this->Log,
                        UpstreamSenderSettings()};
  forwarding::Route Target;
  std::shared_ptr<forwarding::ForwardRequest> Request =
      std::make_shared<forwarding::ForwardRequest>();
  std::optional<forwarding::AttemptEnd> End;
  int NotifiedCount = 0;
};

// A connection to a domain in trouble may take long to be set up. The request
// must be free for another searcher at once.
TEST_F(UpstreamSenderTest, AttemptInAnEvacuatedDomainIsTakenBackAtOnce) {
  this->start();
  this->Registry.setEvacuatedDomains({"z1"});
  this->Sender.withdrawUnlisted();
  EXPECT_EQ(this->End, forwarding::AttemptEnd::NotSent);
  EXPECT_EQ(this->Sender.connections(), 0U);
  this->run(Moment);
  EXPECT_TRUE(this->Searcher.requests().empty());
}

TEST_F(UpstreamSenderTest, RequestIsNotSentOnAConnectionThatIsSetUpTooLate) {
  this->start();
  this->Registry.setEvacuatedDomains({"z1"});
  this->run(LongEnough);
  EXPECT_EQ(this->End, forwarding::AttemptEnd::NotSent);
  EXPECT_TRUE(this->Searcher.requests().empty());
}

TEST_F(UpstreamSenderTest, AttemptInAnotherDomainIsNotTakenBack) {
  this->start();
  this->Registry.setEvacuatedDomains({"z2"});
  this->Sender.withdrawUnlisted();
  this->run(LongEnough);
  EXPECT_EQ(this->End, forwarding::AttemptEnd::Answered);
}

// Nothing else would notify it, so that its caller would wait until the
// deadline.
TEST_F(UpstreamSenderTest, WaitingListenerIsNotifiedWhenNoSearcherIsLeft) {
  this->Sender.awaitConnection(this->Service, *this, {});
  this->Registry.setEvacuatedDomains({"z1"});
  this->Sender.withdrawUnlisted();
  this->run(LongEnough);
  EXPECT_EQ(this->NotifiedCount, 1);
}

// A listener that is notified in vain loses its place in the queue.
TEST_F(UpstreamSenderTest, WaitingListenerKeepsItsPlaceWhileASearcherIsListed) {
  this->Sender.awaitConnection(this->Service, *this, {});
  this->Registry.setEvacuatedDomains({"z2"});
  this->Sender.withdrawUnlisted();
  this->run(Moment);
  EXPECT_EQ(this->NotifiedCount, 0);
}

} // namespace acaciacross::gateway
