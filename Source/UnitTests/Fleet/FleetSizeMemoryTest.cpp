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
  this->Time.advance(std::chrono::milliseconds(350));
  this->Size.note(this->Time.monotonicNow(), 9);
  this->Time.advance(std::chrono::seconds(3));
  this->Size.note(this->Time.monotonicNow(), 3);
  EXPECT_EQ(this->Size.largest(this->Time.monotonicNow()), 9U);
  this->Time.advance(std::chrono::seconds(10));
  EXPECT_EQ(this->Size.largest(this->Time.monotonicNow()), 3U);
}

// VMs that start together know few peers at first; each then opened as many
// connections as if it was one of four, and searchers reset 1,600 of them.
TEST_F(FleetSizeMemoryTest, SizeIsUnknownWhileThePeersAreLearned) {
  this->Size.note(this->Time.monotonicNow(), 4);
  EXPECT_EQ(this->Size.largest(this->Time.monotonicNow()),
            FleetSizeMemory::Unknown);
  this->Time.advance(std::chrono::milliseconds(300));
  this->Size.note(this->Time.monotonicNow(), 9);
  this->Time.advance(std::chrono::milliseconds(300));
  this->Size.note(this->Time.monotonicNow(), 9);
  EXPECT_EQ(this->Size.largest(this->Time.monotonicNow()),
            FleetSizeMemory::Unknown)
      << "peers were still found 300 ms ago";
  this->Time.advance(std::chrono::milliseconds(50));
  this->Size.note(this->Time.monotonicNow(), 9);
  EXPECT_EQ(this->Size.largest(this->Time.monotonicNow()), 9U);
}

} // namespace acaciacross::fleet
