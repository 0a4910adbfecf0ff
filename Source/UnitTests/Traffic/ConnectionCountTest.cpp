#include "Traffic/CurlAttemptSender.h"

#include "Common/SystemClock.h"
#include "RawUpstream.h"

#include <gtest/gtest.h>

namespace acaciacross::traffic {

using std::chrono::milliseconds;

/// The upstream never completes its response to requests with the body "slow"
/// and answers all others with 503.
class ConnectionCountTest : public testing::Test {
protected:
  query::AttemptSpec start(const char *Body) {
    query::AttemptSpec Spec;
    Spec.Id = {common::Incarnation(7), this->Sequence++};
    Spec.Endpoint = this->Upstream.endpoint();
    Spec.Deadline = this->Time.monotonicNow() + milliseconds(10'000);
    Spec.Body = Body;
    this->Sender.start(Spec);
    return Spec;
  }

  template <typename Condition> void runUntil(Condition IsReached) {
    const auto End = this->Time.monotonicNow() + milliseconds(10'000);
    while (!IsReached() && this->Time.monotonicNow() < End) {
      this->EndedCount += this->Sender.perform().size();
      this->Sender.wait(milliseconds(5));
    }
    ASSERT_TRUE(IsReached());
  }

  std::size_t openConnectionCount() const {
    return this->Sender.openConnectionCount(this->Upstream.endpoint());
  }

  void startSlow(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      this->Slow.push_back(this->start("slow"));
    this->runUntil([&] { return this->Upstream.requests().size() == Count; });
  }

  common::SystemClock Time;
  RawUpstream Upstream{[](std::size_t, const std::string &Request) {
    return Request.ends_with("slow")
               ? std::string("HTTP/1.1 200 OK\r\n")
               : std::string("HTTP/1.1 503 Shed\r\nContent-Length: 0\r\n\r\n");
  }};
  CurlAttemptSender Sender{Time};
  std::vector<query::AttemptSpec> Slow;
  std::uint64_t Sequence = 0;
  std::size_t EndedCount = 0;
};

// When the quota falls, other VMs may use the connections, so this VM must not
// keep them open.
TEST_F(ConnectionCountTest, IdleConnectionsAboveAFallenQuotaAreClosed) {
  this->Sender.setConnectionLimits(4, 40);
  for (int I = 0; I < 4; ++I)
    this->start("");
  this->runUntil([&] { return this->EndedCount == 4; });
  const std::size_t Before = this->openConnectionCount();
  ASSERT_GT(Before, 1U);
  this->Sender.setConnectionLimits(1, 10);
  EXPECT_EQ(this->openConnectionCount(), 1U);
  this->runUntil([&] { return this->Upstream.openConnectionCount() == 1; });
  // The remaining connection works, and a closed one is never used.
  this->start("");
  this->runUntil([&] { return this->EndedCount == 5; });
  EXPECT_EQ(this->Upstream.requests().size(), 5U);
  EXPECT_LE(this->openConnectionCount(), 1U);
}

TEST_F(ConnectionCountTest,
       BusyConnectionsAboveAFallenQuotaStayOpenUntilTheyEnd) {
  this->Sender.setConnectionLimits(3, 30);
  this->startSlow(3);
  this->Sender.setConnectionLimits(1, 10);
  EXPECT_EQ(this->openConnectionCount(), 3U);
  this->Sender.cancel(this->Slow[0].Id);
  this->start("");
  this->Sender.perform();
  EXPECT_EQ(this->openConnectionCount(), 2U);
  this->Sender.cancel(this->Slow[1].Id);
  this->Sender.cancel(this->Slow[2].Id);
  this->runUntil([&] { return this->EndedCount == 1; });
  EXPECT_EQ(this->openConnectionCount(), 1U);
}

// Guards against exceeding the quota when a winning hedge cancels the other
// attempt and the next query starts at once.
TEST_F(ConnectionCountTest, CancelledAttemptsKeepConnectionsWithinTheQuota) {
  constexpr std::size_t Rounds = 100;
  this->Sender.setConnectionLimits(2, 2);
  this->startSlow(2);
  for (std::size_t Round = 0; Round < Rounds; ++Round) {
    const std::size_t Received = this->Upstream.requests().size();
    this->Sender.cancel(this->Slow[Round].Id);
    EXPECT_FALSE(this->Sender.hasFreeConnection(common::SearcherIndex()))
        << "the upstream has not confirmed the end yet";
    this->runUntil([&] {
      return this->Sender.hasFreeConnection(common::SearcherIndex());
    });
    this->Slow.push_back(this->start("slow"));
    this->runUntil([&] { return this->Upstream.requests().size() > Received; });
    ASSERT_EQ(this->openConnectionCount(), 2U);
  }
  EXPECT_EQ(this->Sender.peakConnectionCount(), 2U);
  // The searcher's limit applies to its own count, and it notices a closed
  // connection with a delay.
  EXPECT_EQ(this->Upstream.peakOpenConnectionCount(), 2U);
}

} // namespace acaciacross::traffic
