#ifndef ACACIACROSS_METRICS_LATENCYHISTOGRAM_H
#define ACACIACROSS_METRICS_LATENCYHISTOGRAM_H

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string_view>

namespace acaciacross::metrics {

/// Histogram of latencies with fixed buckets.
class LatencyHistogram {
public:
  void add(std::chrono::nanoseconds Latency);

  /// Writes the buckets, the sum and the count in the Prometheus text format.
  /// Labels: label pairs without braces; may be empty.
  void write(std::ostream &Page, std::string_view Name,
             std::string_view Labels) const;

private:
  // Upper bounds of the buckets, around the latency targets of interactive
  // queries.
  static constexpr std::array<int, 12> BoundsMs = {
      5, 10, 20, 40, 60, 80, 120, 200, 400, 1000, 2000, 5000};

  std::array<std::uint64_t, BoundsMs.size() + 1> Counts{};
  std::chrono::nanoseconds Sum{0};
};

} // namespace acaciacross::metrics

#endif
