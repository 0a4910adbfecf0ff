#include "Common/SlidingMaximum.h"

#include <gtest/gtest.h>

namespace acaciacross::common {

using std::chrono::milliseconds;

class SlidingMaximumTest : public testing::Test {
protected:
  unsigned after(milliseconds Time, unsigned Value) {
    this->Now += Time;
    this->Recent.note(this->Now, Value);
    return this->Recent.largest(this->Now);
  }

  MonotonicTime Now{std::chrono::seconds(100)};
  SlidingMaximum<unsigned> Recent{milliseconds(1'000)};
};

TEST_F(SlidingMaximumTest, PeakCountsForTheWholeWindow) {
  this->after(milliseconds(0), 9);
  EXPECT_EQ(this->after(milliseconds(1'000), 3), 9U);
  EXPECT_EQ(this->after(milliseconds(1), 3), 3U);
}

// The value of the moment in which a peak leaves must not stand for the rest of
// the window.
TEST_F(SlidingMaximumTest, SecondLargestFollowsThePeak) {
  this->after(milliseconds(0), 9);
  this->after(milliseconds(500), 7);
  EXPECT_EQ(this->after(milliseconds(501), 1), 7U);
}

} // namespace acaciacross::common
