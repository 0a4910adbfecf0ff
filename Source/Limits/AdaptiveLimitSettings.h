#ifndef ACACIACROSS_LIMITS_ADAPTIVELIMITSETTINGS_H
#define ACACIACROSS_LIMITS_ADAPTIVELIMITSETTINGS_H

#include <chrono>
#include <cstdint>

namespace acaciacross::limits {

/// Bounds of an AdaptiveLimit.
struct AdaptiveLimitSettings {
  std::uint32_t Max = 64;
  /// Queueing delay at the searchers above which the limit falls; usually a
  /// quarter of the service's smallest latency target.
  std::chrono::nanoseconds ToleratedDelay = std::chrono::milliseconds(20);
  /// Share of shed attempts above which the limit falls; usually half of the
  /// service's smallest extra-load target, since each shed attempt needs a
  /// retry.
  double ToleratedShedShare = 0.025;
};

} // namespace acaciacross::limits

#endif
