#include "Forwarding/TailHedgePolicy.h"

#include <algorithm>

namespace acaciacross::forwarding {

namespace {

// Uses half of the usual budget of 0.2 extra arrivals per request. The other
// half is left for retries and for times in which more than a tenth of the
// attempts is slow.
constexpr double HedgeQuantile = 0.9;
// The delay is at least and at most the latency target divided by these. An
// earlier hedge would mostly duplicate attempts that are about to end; a later
// one could not meet the target.
constexpr int MinDelayDivisor = 12;
constexpr int MaxDelayDivisor = 3;

} // namespace

std::chrono::nanoseconds
TailHedgePolicy::delay(const Route &Target,
                       const RouteStatistics &Statistics) const {
  const std::chrono::nanoseconds TargetTime = Target.LatencyTarget;
  return std::clamp(Statistics.quantile(HedgeQuantile, Target.LatencyTarget),
                    TargetTime / MinDelayDivisor, TargetTime / MaxDelayDivisor);
}

} // namespace acaciacross::forwarding
