#include "Peering/PullSchedule.h"

#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

namespace acaciacross::peering {

using std::chrono::milliseconds;

class PullScheduleTest : public testing::Test {
protected:
  bool mayBegin(const common::Address &Peer) const {
    return this->Schedule.mayBegin(Peer, this->Time.monotonicNow());
  }
  void begin(const common::Address &Peer) {
    this->Schedule.begin(Peer, this->Time.monotonicNow());
  }

  testsupport::ManualClock Time;
  PullSchedule Schedule;
  common::Address First{"127.0.0.1", 1};
  common::Address Second{"127.0.0.1", 2};
};

// All peers report a new revision within a round of probes.
TEST_F(PullScheduleTest, OnlyOnePeerIsAskedWhileItMayStillAnswer) {
  EXPECT_TRUE(this->mayBegin(this->First));
  this->begin(this->First);
  this->Time.advance(milliseconds(50));
  EXPECT_FALSE(this->mayBegin(this->Second));
}

// A VM that pulled from a peer that lost power asked no other one for 3 s.
TEST_F(PullScheduleTest, AnotherPeerIsAskedWhenThePullTakesTooLong) {
  this->begin(this->First);
  this->Time.advance(milliseconds(300));
  EXPECT_TRUE(this->mayBegin(this->Second));
  EXPECT_FALSE(this->mayBegin(this->First));
}

TEST_F(PullScheduleTest, PeerMayBeAskedAgainAfterThePullHasEnded) {
  this->begin(this->First);
  this->Time.advance(milliseconds(20));
  EXPECT_EQ(this->Schedule.end(this->First, this->Time.monotonicNow()),
            milliseconds(20));
  EXPECT_TRUE(this->mayBegin(this->First));
}

} // namespace acaciacross::peering
