#include "Limits/AdaptiveLimit.h"

#include <algorithm>

namespace acaciacross::limits {

namespace {

// One more query after about four rounds in which the limit was used up.
constexpr double IncreasePerRound = 0.25;

// Gentle, because a limit of 2 on each of 9 VMs is near what 60 slots can take,
// and halving it would leave slots idle.
constexpr double DecreaseFactor = 0.85;

// Long enough to forget old load quickly, short enough for a stable median.
constexpr std::uint32_t WindowSamples = 50;
constexpr std::uint32_t FinishedPerMeasure = 10;

// The lowest median counts for one to two of these periods. A service that has
// become slower for good is not taken for a loaded one for longer.
constexpr std::chrono::minutes RotationPeriod{5};

constexpr double MedianFraction = 0.5;

} // namespace

AdaptiveLimit::AdaptiveLimit(AdaptiveLimitSettings Bounds)
    : Bounds(Bounds), Latencies(WindowSamples) {}

std::uint32_t AdaptiveLimit::value() const {
  return static_cast<std::uint32_t>(this->Limit);
}

void AdaptiveLimit::onFinished(common::MonotonicTime Now,
                               std::chrono::nanoseconds Latency, bool SawShed,
                               bool IsUsedUp) {
  this->Latencies.add(Latency);
  if (++this->FinishedSinceMeasure >= FinishedPerMeasure)
    this->measure(Now);
  if (SawShed || this->queueingDelay() > this->Bounds.ToleratedDelay) {
    this->decrease(Now);
    return;
  }
  // A limit that rises while it is not used would let a later burst through.
  if (!IsUsedUp)
    return;
  const double Max = std::max<std::uint32_t>(this->Bounds.Max, 1);
  this->Limit = std::min(this->Limit + IncreasePerRound / this->Limit, Max);
}

std::chrono::nanoseconds AdaptiveLimit::queueingDelay() const {
  if (!this->Median || !this->LowestNow)
    return std::chrono::nanoseconds(0);
  return *this->Median -
         std::min(*this->LowestNow, this->LowestBefore.value_or(*this->Median));
}

void AdaptiveLimit::measure(common::MonotonicTime Now) {
  this->FinishedSinceMeasure = 0;
  this->Median = this->Latencies.quantile(MedianFraction);
  if (Now >= this->NextRotationAt) {
    this->LowestBefore = this->LowestNow;
    this->LowestNow.reset();
    this->NextRotationAt = Now + RotationPeriod;
  }
  this->LowestNow =
      std::min(this->LowestNow.value_or(*this->Median), *this->Median);
}

void AdaptiveLimit::decrease(common::MonotonicTime Now) {
  if (Now < this->NextDecreaseAt)
    return;
  this->Limit = std::max(this->Limit * DecreaseFactor, 1.0);
  // Queries that were already running show the same overload once more.
  this->NextDecreaseAt =
      Now + this->Median.value_or(this->Bounds.ToleratedDelay);
}

} // namespace acaciacross::limits
