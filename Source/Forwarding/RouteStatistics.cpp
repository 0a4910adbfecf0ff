#include "Forwarding/RouteStatistics.h"

#include <algorithm>

namespace acaciacross::forwarding {

namespace {

constexpr std::uint32_t LeastSamples = 20;
// Without samples an attempt is taken to last this part of the target.
constexpr int TargetPerAttempt = 4;
constexpr std::uint32_t ReviewSamples = 50;
constexpr int RiseParts = 50;

} // namespace

void RouteStatistics::add(std::chrono::nanoseconds Latency) {
  this->Latencies.add(Latency);
  if (++this->SinceReview < ReviewSamples)
    return;
  this->SinceReview = 0;
  const auto Lowest = this->Latencies.quantile(0.1).value_or(Latency);
  // Under a long overload all samples are slow, so the lowest value is kept and
  // rises only little by little.
  const auto Raised = this->Unloaded + this->Unloaded / RiseParts;
  this->Unloaded =
      this->Unloaded.count() == 0 ? Lowest : std::min(Lowest, Raised);
}

CallerClock &RouteStatistics::callers() { return this->Callers; }

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

std::chrono::nanoseconds
RouteStatistics::unloaded(std::chrono::milliseconds Target) const {
  return this->Unloaded.count() == 0 ? Target / TargetPerAttempt
                                     : this->Unloaded;
}

} // namespace acaciacross::forwarding
