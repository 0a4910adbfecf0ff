#include "Forwarding/RouteStatistics.h"

namespace acaciacross::forwarding {

namespace {

constexpr std::uint32_t LeastSamples = 20;
// Without samples an attempt is taken to last this part of the target.
constexpr int TargetPerAttempt = 4;

} // namespace

void RouteStatistics::add(std::chrono::nanoseconds Latency) {
  this->Latencies.add(Latency);
}

std::chrono::nanoseconds
RouteStatistics::typical(std::chrono::milliseconds Target) const {
  return this->quantile(0.5, Target);
}

std::chrono::nanoseconds
RouteStatistics::quantile(double Fraction,
                          std::chrono::milliseconds Target) const {
  if (this->Latencies.size() < LeastSamples)
    return Target / TargetPerAttempt;
  return this->Latencies.quantile(Fraction).value_or(Target / TargetPerAttempt);
}

} // namespace acaciacross::forwarding
