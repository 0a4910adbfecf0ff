#include "Metrics/ClassMetrics.h"

#include "Metrics/MetricsPage.h"

#include <gtest/gtest.h>

namespace acaciacross::metrics {

using std::chrono::milliseconds;

class ClassMetricsTest : public testing::Test {
protected:
  void recordAnswers(int Count, double Coverage = 1.0) {
    query::QueryStatistics Statistics;
    Statistics.FirstAttempts = 10;
    Statistics.ExtraAttempts = 1;
    query::PartialAnswer Answer;
    Answer.Coverage = Coverage;
    for (int I = 1; I <= Count; ++I)
      this->Metrics.record(Answer, milliseconds(I), Statistics, this->Now);
  }

  common::MonotonicTime Now{std::chrono::hours(1)};
  ClassMetrics Metrics{common::ClassName("crew \"1\""), 95.0};
};

// P-square estimates are wrong for few samples.
TEST_F(ClassMetricsTest, FewAnswersGiveExactQuantiles) {
  this->recordAnswers(20, 0.5);
  const ClassReport Report = this->Metrics.report();
  EXPECT_EQ(Report.Latencies[0], milliseconds(10));
  EXPECT_EQ(Report.LatencyAtTargetPercentile, milliseconds(19));
  EXPECT_DOUBLE_EQ(Report.MeanCoverage, 0.5);
  EXPECT_DOUBLE_EQ(Report.extraLoad(), 0.1);
}

// Guards against quantile estimates that are far from the real values.
TEST_F(ClassMetricsTest, ManyAnswersGiveCloseQuantiles) {
  this->recordAnswers(1000);
  const ClassReport Report = this->Metrics.report();
  EXPECT_NEAR(static_cast<double>(Report.Latencies[0].count()), 500e6, 25e6);
  EXPECT_NEAR(static_cast<double>(Report.LatencyAtTargetPercentile.count()),
              950e6, 25e6);
}

// Guards against old answers that hide a change of coverage.
TEST_F(ClassMetricsTest, AnswersOlderThanTwoWindowsAreNotReported) {
  this->recordAnswers(50, 0.2);
  this->Now += std::chrono::minutes(1);
  this->recordAnswers(50);
  this->Now += std::chrono::minutes(1);
  this->recordAnswers(50);
  EXPECT_DOUBLE_EQ(this->Metrics.report().MeanCoverage, 1.0);
}

// Guards against a quotation mark in a class name that ends the label early.
TEST_F(ClassMetricsTest, PageEscapesLabelsAndCountsOutcomes) {
  this->recordAnswers(3);
  const ClassReport Report = this->Metrics.report();
  const std::string Page = MetricsPage::render({&Report, 1});
  EXPECT_NE(Page.find("acaciacross_requests_total{class=\"crew \\\"1\\\"\","
                      "code=\"1\",result=\"PartialCoverage\"} 3\n"),
            std::string::npos)
      << Page;
}

} // namespace acaciacross::metrics
