#include "Net/BusyMeter.h"

#include <gtest/gtest.h>

namespace acaciacross::net {

using std::chrono::milliseconds;

class BusyMeterTest : public testing::Test {
protected:
  void run(int Steps, double IdleShare) {
    for (int I = 0; I < Steps; ++I) {
      this->Now += milliseconds(200);
      this->Waited += std::chrono::duration_cast<std::chrono::nanoseconds>(
          IdleShare * std::chrono::duration<double, std::milli>(200));
      this->Meter.note(this->Now, this->Waited);
    }
  }

  BusyMeter Meter;
  common::MonotonicTime Now{std::chrono::seconds(100)};
  std::chrono::nanoseconds Waited{0};
};

TEST_F(BusyMeterTest, IdleThreadIsNotBusy) {
  this->run(20, 1.0);
  EXPECT_EQ(this->Meter.perMille(), 0U);
}

// Callers are placed by this figure: a burst must show within a second or two.
TEST_F(BusyMeterTest, BurstShowsWithinTwoSeconds) {
  this->run(20, 0.9);
  this->run(10, 0.0);
  EXPECT_GT(this->Meter.perMille(), 800U);
}

// A wait that is still open may be counted twice by a reader in between.
TEST_F(BusyMeterTest, ShareStaysWithinItsBounds) {
  this->run(5, 1.5);
  EXPECT_EQ(this->Meter.perMille(), 0U);
}

} // namespace acaciacross::net
