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

/// Latency and coverage of the answers of one period. Include this header in
/// sources of this module only, since it includes large Boost headers.
class AnswerWindow {
public:
  /// Fractions: the quantiles to estimate, as fractions, ascending and
  /// distinct.
  explicit AnswerWindow(std::vector<double> Fractions);

  void add(std::chrono::nanoseconds Latency, double Coverage);

  std::uint64_t count() const;
  double meanCoverage() const;

  /// Zero without answers. Fraction must be one of the constructor's fractions.
  std::chrono::nanoseconds quantile(double Fraction) const;

private:
  using LatencySet = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::extended_p_square>>;
  using CoverageSet = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<boost::accumulators::tag::mean>>;

  /// P-square estimates need at least as many samples as markers. Up to this
  /// number of samples, quantiles are computed from the samples themselves.
  static constexpr std::size_t MaxExactSamples = 64;

  std::vector<double> Fractions;
  LatencySet Latencies;
  CoverageSet Coverages;
  std::vector<double> FirstSamples;
};

} // namespace acaciacross::metrics

#endif
