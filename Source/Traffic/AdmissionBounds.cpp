#include "Traffic/AdmissionBounds.h"

#include <algorithm>
#include <optional>

namespace acaciacross::traffic {

namespace {

// Queries may wait at the searchers for a quarter of the latency target; the
// rest is left for their execution.
constexpr int ToleratedDelayDivisor = 4;

// Each shed attempt needs a retry, which counts as extra load. Half of the
// extra load is kept for hedges.
constexpr double ShedShareOfExtraLoad = 0.5;

} // namespace

limits::AdaptiveLimitSettings
admissionBounds(const common::ServiceName &Service,
                const control::ControlView &View,
                limits::AdaptiveLimitSettings Defaults) {
  std::optional<std::chrono::nanoseconds> MinDelay;
  std::optional<double> MinShedShare;
  for (const auto &[Name, Class] : View.Classes) {
    if (Class.Service != Service)
      continue;
    const std::chrono::nanoseconds ClassDelay =
        std::chrono::nanoseconds(Class.LatencyTarget) / ToleratedDelayDivisor;
    MinDelay = std::min(MinDelay.value_or(ClassDelay), ClassDelay);
    // A class without extra load has no retries. A tolerated share of 0 would
    // lower the limit of the whole service on every shed attempt.
    if (Class.ExtraLoadTarget == 0.0)
      continue;
    const double ShedShare = Class.ExtraLoadTarget * ShedShareOfExtraLoad;
    MinShedShare = std::min(MinShedShare.value_or(ShedShare), ShedShare);
  }
  Defaults.ToleratedDelay = MinDelay.value_or(Defaults.ToleratedDelay);
  Defaults.ToleratedShedShare =
      MinShedShare.value_or(Defaults.ToleratedShedShare);
  return Defaults;
}

} // namespace acaciacross::traffic
