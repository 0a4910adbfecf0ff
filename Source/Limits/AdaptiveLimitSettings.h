#ifndef ACACIACROSS_LIMITS_ADAPTIVELIMITSETTINGS_H
#define ACACIACROSS_LIMITS_ADAPTIVELIMITSETTINGS_H

#include <chrono>
#include <cstdint>

namespace acaciacross::limits {

/// Bounds of an AdaptiveLimit.
struct AdaptiveLimitSettings {
  std::uint32_t Max = 64;
  /// Time that queries may wait in the searchers' queues before the limit
  /// falls; usually a quarter of the service's smallest latency target.
  std::chrono::nanoseconds ToleratedDelay = std::chrono::milliseconds(20);
  /// Part of the attempts that may be shed before the limit falls; usually half
  /// of the service's smallest extra-load target, since each needs a retry.
  double ToleratedShedPart = 0.025;
};

} // namespace acaciacross::limits

#endif
