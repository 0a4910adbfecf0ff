#ifndef ACACIACROSS_FORWARDING_ROUTELATENCY_H
#define ACACIACROSS_FORWARDING_ROUTELATENCY_H

#include <chrono>

namespace acaciacross::forwarding {

/// How long attempts of a route last.
struct RouteLatency {
  /// Median of recent ones.
  std::chrono::nanoseconds Typical{0};
  /// Without waiting in a queue.
  std::chrono::nanoseconds Unloaded{0};
};

} // namespace acaciacross::forwarding

#endif
