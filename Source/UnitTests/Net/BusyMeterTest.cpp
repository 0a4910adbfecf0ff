#include "Net/BusyMeter.h"

#include <gtest/gtest.h>

namespace acaciacross::net {

using std::chrono::milliseconds;

class BusyMeterTest : public testing::Test {
protected:
  void advance(int Steps, double IdleShare) {
    for (int I = 0; I < Steps; ++I) {
      this->Now += milliseconds(200);
      this->IdleTime += std::chrono::duration_cast<std::chrono::nanoseconds>(
          IdleShare * std::chrono::duration<double, std::milli>(200));
      this->Meter.addSample(this->Now, this->IdleTime);
    }
  }

  BusyMeter Meter;
  common::MonotonicTime Now{std::chrono::seconds(100)};
  std::chrono::nanoseconds IdleTime{0};
};

// Guards against a load that is reported while the thread only waits.
TEST_F(BusyMeterTest, IdleThreadIsNotBusy) {
  this->advance(20, 1.0);
  EXPECT_EQ(this->Meter.perMille(), 0U);
}

// The placement of callers uses this value, so it must show a burst within one
// or two seconds.
TEST_F(BusyMeterTest, BurstShowsWithinTwoSeconds) {
  this->advance(20, 0.9);
  this->advance(10, 0.0);
  EXPECT_GT(this->Meter.perMille(), 800U);
}

// A sample taken while a wait ends may count this wait twice, which must not
// give a negative share.
TEST_F(BusyMeterTest, IdleTimeLongerThanThePeriodGivesZero) {
  this->advance(5, 1.5);
  EXPECT_EQ(this->Meter.perMille(), 0U);
}

} // namespace acaciacross::net
