#include "Net/EventLoop.h"

#include "Common/SystemClock.h"

#include <gtest/gtest.h>

#include <functional>

namespace acaciacross::net {

class EventLoopTest : public testing::Test {
protected:
  const common::SystemClock Time{};
  EventLoop Loop{this->Time};
};

// Guards against one connection with many buffered requests, each of which sets
// a timer for the next, that keeps all others waiting until it is done.
TEST_F(EventLoopTest, TimerThatRenewsItselfLeavesTurnsToEvents) {
  int Renewals = 0;
  const std::function<void()> Renew = [&] {
    // Without turns for events, the posted stop would never run.
    if (++Renewals < 1'000'000)
      this->Loop.schedule(this->Loop.now(), Renew);
  };
  this->Loop.schedule(this->Loop.now(), [&] {
    this->Loop.stop();
    Renew();
  });
  this->Loop.run();
  EXPECT_LE(Renewals, 3);
}

} // namespace acaciacross::net
