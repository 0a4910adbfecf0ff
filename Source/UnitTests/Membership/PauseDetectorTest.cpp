#include "Membership/PauseDetector.h"

#include <gtest/gtest.h>

namespace acaciacross::membership {

using std::chrono::milliseconds;

class PauseDetectorTest : public testing::Test {
protected:
  PauseDetectorTest() { this->Subject.tick(this->Start, this->Wall); }

  common::MonotonicTime Start{std::chrono::hours(1)};
  common::WallTime Wall{std::chrono::hours(1)};
  PauseDetector Subject;
};

TEST_F(PauseDetectorTest, GapAtTheLimitIsNoPause) {
  EXPECT_FALSE(this->Subject.tick(this->Start + milliseconds(500),
                                  this->Wall + milliseconds(500)));
}

TEST_F(PauseDetectorTest, GapOverTheLimitIsReportedOnce) {
  const auto Later = this->Start + milliseconds(501);
  const auto LaterWall = this->Wall + milliseconds(501);
  EXPECT_EQ(this->Subject.beforeMessage(Later, LaterWall), milliseconds(501));
  EXPECT_FALSE(this->Subject.tick(Later, LaterWall));
}

// Messages that keep the reactor busy do not hide that the tick is late.
TEST_F(PauseDetectorTest, MessagesBetweenTicksDoNotMoveTheLastTick) {
  this->Subject.beforeMessage(this->Start + milliseconds(400),
                              this->Wall + milliseconds(400));
  EXPECT_TRUE(this->Subject.tick(this->Start + milliseconds(600),
                                 this->Wall + milliseconds(600)));
}

// A suspended VM's monotonic clock may stand still.
TEST_F(PauseDetectorTest, GapOfWallClockAloneIsAPause) {
  EXPECT_TRUE(this->Subject.tick(this->Start + milliseconds(200),
                                 this->Wall + std::chrono::seconds(60)));
}

} // namespace acaciacross::membership
