#ifndef ACACIACROSS_LIMITS_ADAPTIVELIMIT_H
#define ACACIACROSS_LIMITS_ADAPTIVELIMIT_H

#include "Common/Time.h"
#include "Limits/AdaptiveLimitSettings.h"
#include "Retries/LatencyQuantile.h"

#include <optional>

namespace acaciacross::limits {

/// Limit on the queries that this VM runs on a service at the same time. It
/// rises while it is fully used, and falls on shed attempts and on queueing
/// delay.
class AdaptiveLimit {
public:
  explicit AdaptiveLimit(AdaptiveLimitSettings Bounds);

  /// Changes the bounds. The limit itself changes at the end of the next round
  /// at the earliest.
  void reconfigure(AdaptiveLimitSettings Changed);

  /// The current limit, at least 1 and at most the maximum.
  std::uint32_t value() const;
  /// Records a finished query. ShedShare: share of its attempts that searchers
  /// shed. IsUsedUp: whether as many queries were running as the limit allows.
  void onFinished(common::MonotonicTime Now, std::chrono::nanoseconds Latency,
                  double ShedShare, bool IsUsedUp);
  /// Recent median latency minus the lowest median of the last minutes.
  std::chrono::nanoseconds queueingDelay() const;

private:
  void endRound(common::MonotonicTime Now);
  void measureDelay(common::MonotonicTime Now);
  void increase();
  void decrease();

  AdaptiveLimitSettings Bounds;
  double Limit = 1.0;
  /// True until the limit falls for the first time. Meanwhile it rises by a
  /// factor instead of a constant.
  bool IsStarting = true;

  std::uint32_t FinishedInRound = 0;
  std::uint32_t UsedUpInRound = 0;
  double ShedInRound = 0.0;

  retries::LatencyQuantile Latencies;
  std::optional<std::chrono::nanoseconds> Median;
  std::optional<std::chrono::nanoseconds> LowestMedian;
  std::optional<std::chrono::nanoseconds> PreviousLowestMedian;
  common::MonotonicTime NextRotationAt;
};

} // namespace acaciacross::limits

#endif
