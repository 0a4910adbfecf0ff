#include "Programs/LoadGenerator/LoadReport.h"

#include <gtest/gtest.h>

namespace acaciacross::loadgenerator {

class LoadReportTest : public testing::Test {};

TEST_F(LoadReportTest, PercentileIsTheNearestRank) {
  ClassResult Result;
  for (int I = 100; I > 0; --I)
    Result.Latencies.emplace_back(I);
  EXPECT_EQ(Result.percentile(99.0), std::chrono::microseconds(99));
  EXPECT_EQ(Result.percentile(100.0), std::chrono::microseconds(100));
  EXPECT_EQ(ClassResult().percentile(50.0), std::chrono::microseconds(0));
}

TEST_F(LoadReportTest, AttemptsOfAllClassesAndVmsAreAdded) {
  AttemptCounts Counts;
  Counts.addPage("# HELP acaciacross_first_attempts_total x\n"
                 "acaciacross_first_attempts_total{class=\"a\"} 30\n"
                 "acaciacross_first_attempts_total{class=\"b\"} 10\n");
  Counts.addPage("acaciacross_extra_attempts_total{class=\"a\"} 2\n");
  EXPECT_EQ(Counts.First, 40);
  EXPECT_EQ(Counts.Extra, 2);
}

} // namespace acaciacross::loadgenerator
