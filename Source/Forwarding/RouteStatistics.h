#ifndef ACACIACROSS_FORWARDING_ROUTESTATISTICS_H
#define ACACIACROSS_FORWARDING_ROUTESTATISTICS_H

#include "Forwarding/CallerWaitEstimator.h"
#include "Retries/LatencyQuantile.h"

#include <chrono>
#include <cstdint>

namespace acaciacross::forwarding {

/// Latencies of the attempts of one route over all its searchers, and the time
/// that its callers had waited before they sent a request.
class RouteStatistics {
public:
  void add(std::chrono::nanoseconds Latency);

  /// Median latency; estimated from the route's target until there are enough
  /// samples.
  std::chrono::nanoseconds typical(std::chrono::milliseconds Target) const;
  /// Upper bound of the latency of the given fraction of the attempts; the same
  /// estimate until there are enough samples.
  std::chrono::nanoseconds quantile(double Fraction,
                                    std::chrono::milliseconds Target) const;

  CallerWaitEstimator &callers();

  /// Latency of an attempt that does not wait in a queue: the 0.1 quantile of
  /// recent ones; the same estimate until there are enough samples.
  std::chrono::nanoseconds
  unloadedLatency(std::chrono::milliseconds Target) const;

private:
  static constexpr std::uint32_t WindowSamples = 500;

  retries::LatencyQuantile Latencies{WindowSamples};
  CallerWaitEstimator CallerWaits;
  std::chrono::nanoseconds Unloaded{0};
  std::uint32_t SamplesSinceUpdate = 0;
};

} // namespace acaciacross::forwarding

#endif
