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

  /// Changes the bounds; the limit stays until the next round.
  void reconfigure(AdaptiveLimitSettings Changed);

  /// At least 1 and at most the maximum.
  std::uint32_t value() const;
  /// Told of each finished query. ShedPart: part of its attempts that searchers
  /// shed. IsUsedUp: as many queries were running as the limit allows.
  void onFinished(common::MonotonicTime Now, std::chrono::nanoseconds Latency,
                  double ShedPart, bool IsUsedUp);
  /// Recent median latency less the lowest one of the last minutes.
  std::chrono::nanoseconds queueingDelay() const;

private:
  void endRound(common::MonotonicTime Now);
  void measureDelay(common::MonotonicTime Now);
  void increase();
  void decrease();

  AdaptiveLimitSettings Bounds;
  double Limit = 1.0;
  /// Nothing has shown yet how much is too much.
  bool IsStarting = true;

  std::uint32_t FinishedInRound = 0;
  std::uint32_t UsedUpInRound = 0;
  double ShedInRound = 0.0;

  retries::LatencyQuantile Latencies;
  std::optional<std::chrono::nanoseconds> Median;
  std::optional<std::chrono::nanoseconds> LowestNow;
  std::optional<std::chrono::nanoseconds> LowestBefore;
  common::MonotonicTime NextRotationAt;
};

} // namespace acaciacross::limits

#endif
