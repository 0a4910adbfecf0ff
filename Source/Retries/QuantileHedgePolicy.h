#ifndef ACACIACROSS_RETRIES_QUANTILEHEDGEPOLICY_H
#define ACACIACROSS_RETRIES_QUANTILEHEDGEPOLICY_H

#include "Query/HedgePolicy.h"
#include "Retries/HedgeBounds.h"
#include "Retries/LatencyQuantile.h"

namespace acaciacross::retries {

/// Hedges what takes longer than the measured quantile 1 - extra-load target,
/// so that about that fraction of the attempts is hedged. One per class.
class QuantileHedgePolicy final : public query::HedgePolicy {
public:
  /// ExtraLoadTarget in [0, 1]; at 0 nothing is hedged.
  QuantileHedgePolicy(double ExtraLoadTarget, HedgeBounds Limits);

  std::optional<std::chrono::nanoseconds> delay() const override;
  void onReply(std::chrono::nanoseconds Elapsed) override;

  /// Applies changed targets; the measured latencies are kept.
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
