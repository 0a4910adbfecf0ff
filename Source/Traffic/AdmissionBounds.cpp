#include "Traffic/AdmissionBounds.h"

#include <algorithm>

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
  bool IsFirst = true;
  for (const auto &[Name, Class] : View.Classes) {
    if (Class.Service != Service)
      continue;
    const std::chrono::nanoseconds Delay =
        std::chrono::nanoseconds(Class.LatencyTarget) / ToleratedDelayDivisor;
    const double ShedPart = Class.ExtraLoadTarget * ToleratedShedFactor;
    Base.ToleratedDelay =
        IsFirst ? Delay : std::min(Base.ToleratedDelay, Delay);
    Base.ToleratedShedPart =
        IsFirst ? ShedPart : std::min(Base.ToleratedShedPart, ShedPart);
    IsFirst = false;
  }
  return Base;
}

} // namespace acaciacross::traffic
