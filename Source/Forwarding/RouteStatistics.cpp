#include "Forwarding/RouteStatistics.h"

#include <algorithm>

namespace acaciacross::forwarding {

namespace {

constexpr std::uint32_t MinSamples = 20;
// Without samples, the latency of an attempt is estimated as the target divided
// by this.
constexpr int DefaultLatencyDivisor = 4;
constexpr std::uint32_t SamplesPerUpdate = 50;
constexpr int RiseDivisor = 50;

} // namespace

void RouteStatistics::add(std::chrono::nanoseconds Latency) {
  this->Latencies.add(Latency);
  if (++this->SamplesSinceUpdate < SamplesPerUpdate)
    return;
  this->SamplesSinceUpdate = 0;
  const auto Lowest = this->Latencies.quantile(0.1).value_or(Latency);
  // In a long overload all samples are slow. So the lowest value is kept and
  // rises only slowly.
  const auto Raised = this->Unloaded + this->Unloaded / RiseDivisor;
  this->Unloaded =
      this->Unloaded.count() == 0 ? Lowest : std::min(Lowest, Raised);
}

CallerWaitEstimator &RouteStatistics::callers() { return this->CallerWaits; }

std::chrono::nanoseconds
RouteStatistics::typical(std::chrono::milliseconds Target) const {
  return this->quantile(0.5, Target);
}

std::chrono::nanoseconds
RouteStatistics::quantile(double Fraction,
                          std::chrono::milliseconds Target) const {
  if (this->Latencies.size() < MinSamples)
    return Target / DefaultLatencyDivisor;
  return this->Latencies.quantile(Fraction).value_or(Target /
                                                     DefaultLatencyDivisor);
}

std::chrono::nanoseconds
RouteStatistics::unloadedLatency(std::chrono::milliseconds Target) const {
  return this->Unloaded.count() == 0 ? Target / DefaultLatencyDivisor
                                     : this->Unloaded;
}

} // namespace acaciacross::forwarding
