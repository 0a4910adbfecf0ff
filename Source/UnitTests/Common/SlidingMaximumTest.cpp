#include "Common/SlidingMaximum.h"

#include <gtest/gtest.h>

namespace acaciacross::common {

using std::chrono::milliseconds;

class SlidingMaximumTest : public testing::Test {
protected:
  /// Adds a value after the time has passed, and returns the maximum.
  unsigned addAfter(milliseconds Time, unsigned Value) {
    this->Now += Time;
    this->Maximum.add(this->Now, Value);
    return this->Maximum.maximum(this->Now);
  }

  MonotonicTime Now{std::chrono::seconds(100)};
  SlidingMaximum<unsigned> Maximum{milliseconds(1'000)};
};

// A peak must neither be lost before the window ends nor be kept after it.
TEST_F(SlidingMaximumTest, PeakCountsForTheWholeWindow) {
  this->addAfter(milliseconds(0), 9);
  EXPECT_EQ(this->addAfter(milliseconds(1'000), 3), 9U);
  EXPECT_EQ(this->addAfter(milliseconds(1), 3), 3U);
}

// When the peak leaves the window, the maximum must be the next largest value
// in the window and not the newest value.
TEST_F(SlidingMaximumTest, SecondLargestFollowsThePeak) {
  this->addAfter(milliseconds(0), 9);
  this->addAfter(milliseconds(500), 7);
  EXPECT_EQ(this->addAfter(milliseconds(501), 1), 7U);
}

} // namespace acaciacross::common
