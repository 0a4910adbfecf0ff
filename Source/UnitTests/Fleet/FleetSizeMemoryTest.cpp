#include "Fleet/FleetSizeMemory.h"

#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

namespace acaciacross::fleet {

class FleetSizeMemoryTest : public testing::Test {
protected:
  testsupport::ManualClock Time;
  FleetSizeMemory Size{std::chrono::milliseconds(10'000)};
};

// A VM that was lost a second ago has spent its part of the window's budget.
TEST_F(FleetSizeMemoryTest, LostVmsCountUntilTheWindowIsOver) {
  this->Size.note(this->Time.monotonicNow(), 9);
  this->Time.advance(std::chrono::seconds(1));
  this->Size.note(this->Time.monotonicNow(), 3);
  EXPECT_EQ(this->Size.largest(this->Time.monotonicNow()), 9U);
  this->Time.advance(std::chrono::seconds(10));
  EXPECT_EQ(this->Size.largest(this->Time.monotonicNow()), 3U);
}

TEST_F(FleetSizeMemoryTest, FleetWithoutPeersIsThisVm) {
  EXPECT_EQ(this->Size.largest(this->Time.monotonicNow()), 1U);
}

} // namespace acaciacross::fleet
