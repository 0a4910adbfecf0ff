#ifndef ACACIACROSS_RETRIES_QUANTILEHEDGEPOLICY_H
#define ACACIACROSS_RETRIES_QUANTILEHEDGEPOLICY_H

#include "Query/HedgePolicy.h"
#include "Retries/HedgeBounds.h"
#include "Retries/LatencyQuantile.h"

namespace acaciacross::retries {

/// Hedges attempts that take longer than the measured latency quantile 1 -
/// extra-load target, so that about the target fraction of the attempts is
/// hedged. One instance per class.
class QuantileHedgePolicy final : public query::HedgePolicy {
public:
  /// ExtraLoadTarget is in [0, 1]; 0 disables hedging.
  QuantileHedgePolicy(double ExtraLoadTarget, HedgeBounds Limits);

  std::optional<std::chrono::nanoseconds> delay() const override;
  void onReply(std::chrono::nanoseconds Elapsed) override;

  /// Applies a changed target and changed bounds; the measured latencies are
  /// kept.
  void reconfigure(double ExtraLoadTarget, HedgeBounds Limits);

private:
  void refresh();

  double ExtraLoadTarget;
  HedgeBounds Limits;
  LatencyQuantile Latencies;
  std::uint32_t RepliesSinceRefresh = 0;
  std::optional<std::chrono::nanoseconds> CurrentDelay;
};

} // namespace acaciacross::retries

#endif
