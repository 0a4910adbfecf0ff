#ifndef ACACIACROSS_BENCHMARKS_HEDGINGRUN_H
#define ACACIACROSS_BENCHMARKS_HEDGINGRUN_H

#include "Query/QueryStatistics.h"
#include "TestSupport/FakeSearcherCounts.h"

namespace acaciacross::benchmarks {

/// Results of one run of the hedging benchmark.
struct HedgingRun {
  double MedianMs = 0.0;
  double P99Ms = 0.0;
  double MeanCoverage = 0.0;
  query::QueryStatistics Statistics;
  testsupport::FakeSearcherCounts Searchers;
};

} // namespace acaciacross::benchmarks

#endif
