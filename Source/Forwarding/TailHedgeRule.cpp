#include "Forwarding/TailHedgeRule.h"

#include <algorithm>

namespace acaciacross::forwarding {

namespace {

// Half of the usual budget of 0.2 extra arrivals a request; the other half is
// left for retries and for times when more than a tenth is slow.
constexpr double HedgedFrom = 0.9;
// Bounds as parts of the latency target: an earlier hedge would mostly double
// attempts that are about to end, a later one could not meet the target.
constexpr int EarliestPart = 12;
constexpr int LatestPart = 3;

} // namespace

std::chrono::nanoseconds
TailHedgeRule::delay(const Route &Target,
                     const RouteStatistics &Statistics) const {
  const std::chrono::nanoseconds Goal = Target.LatencyTarget;
  return std::clamp(Statistics.quantile(HedgedFrom, Target.LatencyTarget),
                    Goal / EarliestPart, Goal / LatestPart);
}

} // namespace acaciacross::forwarding
