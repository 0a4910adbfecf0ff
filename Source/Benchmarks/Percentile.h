#ifndef ACACIACROSS_BENCHMARKS_PERCENTILE_H
#define ACACIACROSS_BENCHMARKS_PERCENTILE_H

#include <chrono>
#include <vector>

namespace acaciacross::benchmarks {

/// Percentile of latencies by the nearest-rank method, in milliseconds. Percent
/// is in (0, 100]. Returns 0 when there are no latencies.
double percentileMs(std::vector<std::chrono::nanoseconds> Latencies,
                    double Percent);

} // namespace acaciacross::benchmarks

#endif
