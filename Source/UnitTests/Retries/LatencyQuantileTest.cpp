#include "Retries/LatencyQuantile.h"

#include <gtest/gtest.h>

namespace acaciacross::retries {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

class LatencyQuantileTest : public testing::Test {
protected:
  LatencyQuantile Latencies{1'000};
};

TEST_F(LatencyQuantileTest, QuantileWithoutSamplesIsEmpty) {
  EXPECT_EQ(this->Latencies.quantile(0.5), std::nullopt);
}

// A quantile below the true one would cause more hedges than the target allows.
TEST_F(LatencyQuantileTest, QuantileIsAtMostAnEighthAboveTheTrueOne) {
  for (int Ms = 1; Ms <= 1'000; ++Ms)
    this->Latencies.add(milliseconds(Ms));
  for (const int Permille : {1, 500, 950, 990, 1'000}) {
    const nanoseconds Measured = *this->Latencies.quantile(Permille / 1'000.0);
    const nanoseconds True = milliseconds(Permille);
    EXPECT_GE(Measured, True) << Permille;
    EXPECT_LE(Measured, True * 9 / 8) << Permille;
  }
}

// With an unlimited window, every attempt would be hedged for hours after a
// service has become slower.
TEST_F(LatencyQuantileTest, SamplesOlderThanTwoWindowsAreDropped) {
  for (int I = 0; I < 5'000; ++I)
    this->Latencies.add(milliseconds(1));
  for (int I = 0; I < 2'000; ++I)
    this->Latencies.add(milliseconds(100));
  EXPECT_GE(*this->Latencies.quantile(0.01), milliseconds(100));
}

TEST_F(LatencyQuantileTest, SamplesOutsideTheRangeCountInTheOutermostBuckets) {
  this->Latencies.add(nanoseconds(-5));
  this->Latencies.add(std::chrono::hours(10));
  EXPECT_LE(*this->Latencies.quantile(0.5), std::chrono::microseconds(2));
  EXPECT_GE(*this->Latencies.quantile(1.0), std::chrono::seconds(270));
}

} // namespace acaciacross::retries
