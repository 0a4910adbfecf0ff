#ifndef ACACIACROSS_METRICS_CLASSMETRICS_H
#define ACACIACROSS_METRICS_CLASSMETRICS_H

#include "Common/Time.h"
#include "Metrics/ClassReport.h"
#include "Query/Outcome.h"
#include "Query/QueryStatistics.h"

#include <chrono>
#include <memory>
#include <span>

namespace acaciacross::metrics {

class AnswerWindow;

/// Measures one class on this VM. Belongs to a traffic thread.
class ClassMetrics {
public:
  /// TargetPercentile in percent.
  ClassMetrics(common::ClassName Name, double TargetPercentile);
  ~ClassMetrics();

  /// The fractions that ClassReport::Latencies gives, in ascending order.
  static std::span<const double> quantiles();

  void record(const query::Outcome &Outcome, std::chrono::nanoseconds Latency,
              const query::QueryStatistics &Work, common::MonotonicTime Now);

  /// A changed target percentile begins a new window.
  void reconfigure(double TargetPercentile);

  ClassReport report() const;

private:
  void rotate(common::MonotonicTime Now);
  void clearWindows();

  ClassReport Totals;
  double TargetPercentile;
  common::MonotonicTime WindowStart;
  std::unique_ptr<AnswerWindow> Current;
  std::unique_ptr<AnswerWindow> Previous;
};

} // namespace acaciacross::metrics

#endif
