#include "Traffic/AdmissionBounds.h"

#include <algorithm>
#include <optional>

namespace acaciacross::traffic {

namespace {

// A quarter of the smallest latency target leaves the rest for the searchers.
constexpr int ToleratedDelayDivisor = 4;

// Each attempt that is shed needs a retry from the extra load; hedges need the
// other half.
constexpr double ToleratedShedFactor = 0.5;

} // namespace

limits::AdaptiveLimitSettings
admissionBounds(const common::ServiceName &Service,
                const control::ControlView &View,
                limits::AdaptiveLimitSettings Base) {
  std::optional<std::chrono::nanoseconds> Delay;
  std::optional<double> ShedPart;
  for (const auto &[Name, Class] : View.Classes) {
    if (Class.Service != Service)
      continue;
    const std::chrono::nanoseconds Tolerated =
        std::chrono::nanoseconds(Class.LatencyTarget) / ToleratedDelayDivisor;
    Delay = std::min(Delay.value_or(Tolerated), Tolerated);
    // A class without extra load pays for no retries. A tolerated part of 0
    // would lower the limit of the whole service on every shed attempt.
    if (Class.ExtraLoadTarget == 0.0)
      continue;
    const double Part = Class.ExtraLoadTarget * ToleratedShedFactor;
    ShedPart = std::min(ShedPart.value_or(Part), Part);
  }
  Base.ToleratedDelay = Delay.value_or(Base.ToleratedDelay);
  Base.ToleratedShedPart = ShedPart.value_or(Base.ToleratedShedPart);
  return Base;
}

} // namespace acaciacross::traffic
