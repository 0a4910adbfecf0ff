#ifndef ACACIACROSS_FORWARDING_ROUTELATENCY_H
#define ACACIACROSS_FORWARDING_ROUTELATENCY_H

#include <chrono>

namespace acaciacross::forwarding {

/// Latency of the attempts of a route.
struct RouteLatency {
  /// Median of recent attempts.
  std::chrono::nanoseconds Typical{0};
  /// Latency without waiting in a queue.
  std::chrono::nanoseconds Unloaded{0};
};

} // namespace acaciacross::forwarding

#endif
