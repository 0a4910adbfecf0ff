#include "Gateway/ConnectionPool.h"

#include "Gateway/UpstreamListener.h"
#include "Net/EventLoop.h"
#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

namespace acaciacross::gateway {

using std::chrono::milliseconds;

class ConnectionPoolTest : public testing::Test, public UpstreamListener {
protected:
  void onConnected(UpstreamConnection &) override {}
  bool onResponse(UpstreamConnection &, http::Response, bool) override {
    return true;
  }
  void onBuffered(UpstreamConnection &, std::size_t) override {}
  void onUpstreamClosed(UpstreamConnection &, bool) override {}

  std::shared_ptr<UpstreamConnection> connection() {
    return std::make_shared<UpstreamConnection>(
        this->Loop, static_cast<UpstreamListener &>(*this));
  }

  void addIdle(std::optional<std::chrono::seconds> IdleTimeout) {
    const auto Added = this->connection();
    this->Pool.addBusy(Added);
    this->Pool.release(Added, this->Time.monotonicNow(), IdleTimeout);
  }

  testsupport::ManualClock Time;
  net::EventLoop Loop{this->Time};
  ConnectionPool Pool{common::Address{"127.0.0.1", 1}};
};

// Guards against a request that is lost because the searcher closes its
// connection.
TEST_F(ConnectionPoolTest, ConnectionNearItsIdleTimeoutIsNotUsed) {
  this->addIdle(std::chrono::seconds(5));
  this->Time.advance(milliseconds(4'500));
  EXPECT_EQ(this->Pool.takeIdle(this->Time.monotonicNow(), false), nullptr);
  this->addIdle(std::chrono::seconds(5));
  this->Time.advance(milliseconds(3'000));
  EXPECT_NE(this->Pool.takeIdle(this->Time.monotonicNow(), false), nullptr);
}

// A searcher without a published idle timeout may close an older connection,
// and the request could not be repeated.
TEST_F(ConnectionPoolTest, UnrepeatableRequestTakesOnlyAFreshConnection) {
  this->addIdle(std::nullopt);
  this->Time.advance(milliseconds(1'500));
  EXPECT_EQ(this->Pool.takeIdle(this->Time.monotonicNow(), true), nullptr);
}

// Guards against a VM that opens more connections than its share.
TEST_F(ConnectionPoolTest, RoomEndsAtTheShareOfThisVm) {
  EXPECT_TRUE(this->Pool.hasFreeConnection(this->Time.monotonicNow(), 2));
  const auto First = this->connection();
  this->Pool.addBusy(First);
  const auto Second = this->connection();
  this->Pool.addBusy(Second);
  EXPECT_FALSE(this->Pool.hasFreeConnection(this->Time.monotonicNow(), 2));
  this->Pool.release(Second, this->Time.monotonicNow(), std::nullopt);
  EXPECT_TRUE(this->Pool.hasFreeConnection(this->Time.monotonicNow(), 2));
}

// Guards against further connections to a searcher at its limit: it would reset
// them as well, and their requests would be lost.
TEST_F(ConnectionPoolTest, SearcherAtItsLimitGetsNoMoreConnectionsForAWhile) {
  const auto Kept = this->connection();
  this->Pool.addBusy(Kept);
  this->Pool.noteRejected(this->Time.monotonicNow());
  EXPECT_FALSE(this->Pool.hasFreeConnection(this->Time.monotonicNow(), 4));
  this->Time.advance(milliseconds(2'100));
  EXPECT_TRUE(this->Pool.hasFreeConnection(this->Time.monotonicNow(), 4));
}

} // namespace acaciacross::gateway
