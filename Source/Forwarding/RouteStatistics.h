#ifndef ACACIACROSS_FORWARDING_ROUTESTATISTICS_H
#define ACACIACROSS_FORWARDING_ROUTESTATISTICS_H

#include "Forwarding/CallerClock.h"
#include "Retries/LatencyQuantile.h"

#include <chrono>
#include <cstdint>

namespace acaciacross::forwarding {

/// Latencies of the attempts of one route, over all its searchers, and what its
/// callers have lost before.
class RouteStatistics {
public:
  void add(std::chrono::nanoseconds Latency);

  /// Median; a guess from the route's target until there are samples.
  std::chrono::nanoseconds typical(std::chrono::milliseconds Target) const;
  /// Upper bound of the latency of the given share of attempts; the same guess
  /// until there are samples.
  std::chrono::nanoseconds quantile(double Fraction,
                                    std::chrono::milliseconds Target) const;

  CallerClock &callers();

  /// Latency of an attempt that does not wait in a queue: the lowest recent
  /// tenth; the same guess until there are samples.
  std::chrono::nanoseconds unloaded(std::chrono::milliseconds Target) const;

private:
  static constexpr std::uint32_t WindowSamples = 500;

  retries::LatencyQuantile Latencies{WindowSamples};
  CallerClock Callers;
  std::chrono::nanoseconds Unloaded{0};
  std::uint32_t SinceReview = 0;
};

} // namespace acaciacross::forwarding

#endif
