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

/// Collects the metrics of one class on this VM. Not thread-safe: for use on
/// one traffic thread.
class ClassMetrics {
public:
  /// TargetPercentile: percentile of the latency target, in percent.
  ClassMetrics(common::ClassName Name, double TargetPercentile);
  ~ClassMetrics();

  /// The quantiles in ClassReport::Latencies, as fractions in ascending order.
  static std::span<const double> quantiles();

  void record(const query::Outcome &Outcome, std::chrono::nanoseconds Latency,
              const query::QueryStatistics &Statistics,
              common::MonotonicTime Now);

  /// Clears both windows when the target percentile changes.
  void reconfigure(double TargetPercentile);

  ClassReport report() const;

private:
  /// Begins a new window when the current one is over.
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
