#include "Membership/PauseDetector.h"

#include <gtest/gtest.h>

namespace acaciacross::membership {

using std::chrono::milliseconds;

class PauseDetectorTest : public testing::Test {
protected:
  PauseDetectorTest() { this->Detector.tick(this->Start, this->Wall); }

  common::MonotonicTime Start{std::chrono::hours(1)};
  common::WallTime Wall{std::chrono::hours(1)};
  PauseDetector Detector;
};

// Normal scheduling delays must not discard evidence.
TEST_F(PauseDetectorTest, GapAtTheThresholdIsNotAPause) {
  EXPECT_FALSE(this->Detector.tick(this->Start + milliseconds(500),
                                   this->Wall + milliseconds(500)));
}

// A pause that is reported twice would discard evidence that is newer than the
// pause.
TEST_F(PauseDetectorTest, GapOverTheThresholdIsReportedOnce) {
  const auto Later = this->Start + milliseconds(501);
  const auto LaterWall = this->Wall + milliseconds(501);
  EXPECT_EQ(this->Detector.checkBeforeMessage(Later, LaterWall),
            milliseconds(501));
  EXPECT_FALSE(this->Detector.tick(Later, LaterWall));
}

// Messages that keep the reactor busy must not hide an overdue tick.
TEST_F(PauseDetectorTest, MessagesBetweenTicksDoNotMoveTheLastTick) {
  this->Detector.checkBeforeMessage(this->Start + milliseconds(400),
                                    this->Wall + milliseconds(400));
  EXPECT_TRUE(this->Detector.tick(this->Start + milliseconds(600),
                                  this->Wall + milliseconds(600)));
}

// The monotonic clock of a suspended VM may stand still.
TEST_F(PauseDetectorTest, GapOfWallClockAloneIsAPause) {
  EXPECT_TRUE(this->Detector.tick(this->Start + milliseconds(200),
                                  this->Wall + std::chrono::seconds(60)));
}

} // namespace acaciacross::membership
