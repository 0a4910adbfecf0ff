#ifndef ACACIACROSS_LIMITS_ADAPTIVELIMIT_H
#define ACACIACROSS_LIMITS_ADAPTIVELIMIT_H

#include "Common/Time.h"
#include "Limits/AdaptiveLimitSettings.h"
#include "Retries/LatencyQuantile.h"

#include <optional>

namespace acaciacross::limits {

/// Number of queries that this VM runs on a service at the same time. Rises
/// while it is used up, and falls on shed replies and on queueing delay.
class AdaptiveLimit {
public:
  explicit AdaptiveLimit(AdaptiveLimitSettings Bounds);

  /// At least 1 and at most the maximum.
  std::uint32_t value() const;
  /// Told of each finished query. SawShed: a searcher shed one of its attempts.
  /// IsUsedUp: as many queries were running as the limit allows.
  void onFinished(common::MonotonicTime Now, std::chrono::nanoseconds Latency,
                  bool SawShed, bool IsUsedUp);
  /// Recent median latency less the lowest one of the last minutes.
  std::chrono::nanoseconds queueingDelay() const;

private:
  void measure(common::MonotonicTime Now);
  void decrease(common::MonotonicTime Now);

  AdaptiveLimitSettings Bounds;
  double Limit = 1.0;
  common::MonotonicTime NextDecreaseAt;

  retries::LatencyQuantile Latencies;
  std::uint32_t FinishedSinceMeasure = 0;
  std::optional<std::chrono::nanoseconds> Median;
  std::optional<std::chrono::nanoseconds> LowestNow;
  std::optional<std::chrono::nanoseconds> LowestBefore;
  common::MonotonicTime NextRotationAt;
};

} // namespace acaciacross::limits

#endif
