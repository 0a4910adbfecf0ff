#include "Fleet/FleetSizeTracker.h"

#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

namespace acaciacross::fleet {

class FleetSizeTrackerTest : public testing::Test {
protected:
  testsupport::ManualClock Time;
  FleetSizeTracker Size{std::chrono::milliseconds(10'000)};
};

// A VM that was lost a second ago has already spent its share of the window's
// budget.
TEST_F(FleetSizeTrackerTest, LostVmsCountUntilTheWindowEnds) {
  this->Size.record(this->Time.monotonicNow(), 9, false);
  this->Time.advance(std::chrono::milliseconds(350));
  this->Size.record(this->Time.monotonicNow(), 9, false);
  this->Time.advance(std::chrono::seconds(3));
  this->Size.record(this->Time.monotonicNow(), 3, false);
  EXPECT_EQ(this->Size.largest(this->Time.monotonicNow()), 9U);
  this->Time.advance(std::chrono::seconds(10));
  EXPECT_EQ(this->Size.largest(this->Time.monotonicNow()), 3U);
}

// VMs that start together know few peers at first. If each takes the share of a
// fleet of four, they open too many connections, and searchers reset 1,600 of
// them.
TEST_F(FleetSizeTrackerTest, SizeIsUnknownWhileThePeersAreLearned) {
  this->Size.record(this->Time.monotonicNow(), 4, false);
  EXPECT_EQ(this->Size.largest(this->Time.monotonicNow()),
            FleetSizeTracker::Unknown);
  this->Time.advance(std::chrono::milliseconds(300));
  this->Size.record(this->Time.monotonicNow(), 9, false);
  this->Time.advance(std::chrono::milliseconds(300));
  this->Size.record(this->Time.monotonicNow(), 9, false);
  EXPECT_EQ(this->Size.largest(this->Time.monotonicNow()),
            FleetSizeTracker::Unknown)
      << "peers were still found 300 ms ago";
  this->Time.advance(std::chrono::milliseconds(50));
  this->Size.record(this->Time.monotonicNow(), 9, false);
  EXPECT_EQ(this->Size.largest(this->Time.monotonicNow()), 9U);
}

// A VM in a fleet of 81 that knows only 24 VMs after the first second would
// place callers on the wrong VMs.
TEST_F(FleetSizeTrackerTest, SizeIsUnknownWhileAddressesAreUntried) {
  for (int Round = 0; Round < 20; ++Round) {
    this->Size.record(this->Time.monotonicNow(), 24, true);
    this->Time.advance(std::chrono::milliseconds(50));
  }
  EXPECT_EQ(this->Size.largest(this->Time.monotonicNow()),
            FleetSizeTracker::Unknown);
}

} // namespace acaciacross::fleet
