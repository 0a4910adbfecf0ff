#ifndef ACACIACROSS_BENCHMARKS_PERCENTILE_H
#define ACACIACROSS_BENCHMARKS_PERCENTILE_H

#include <chrono>
#include <vector>

namespace acaciacross::benchmarks {

/// In milliseconds; Percent in (0, 100]. 0 without latencies.
double percentileMs(std::vector<std::chrono::nanoseconds> Latencies,
                    double Percent);

} // namespace acaciacross::benchmarks

#endif
