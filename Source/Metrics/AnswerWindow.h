#ifndef ACACIACROSS_METRICS_ANSWERWINDOW_H
#define ACACIACROSS_METRICS_ANSWERWINDOW_H

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <chrono>
#include <cstdint>
#include <span>
#include <vector>

namespace acaciacross::metrics {

/// Latency and coverage of the answers of one period. A heavy header: included
/// by sources of this module only.
class AnswerWindow {
public:
  /// Fractions to estimate, ascending and without repetition.
  explicit AnswerWindow(std::vector<double> Estimated);

  void add(std::chrono::nanoseconds Latency, double Coverage);

  std::uint64_t count() const;
  double meanCoverage() const;

  /// Zero without answers. Fraction is one of those estimated.
  std::chrono::nanoseconds quantile(double Fraction) const;

private:
  using LatencySet = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::extended_p_square>>;
  using CoverageSet = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<boost::accumulators::tag::mean>>;

  /// P-square estimates need as many samples as they keep markers; until then
  /// the samples themselves are used.
  static constexpr std::size_t ExactSamples = 64;

  std::vector<double> Fractions;
  LatencySet Latencies;
  CoverageSet Coverages;
  std::vector<double> First;
};

} // namespace acaciacross::metrics

#endif
