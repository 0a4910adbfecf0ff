#include "Limits/AdaptiveLimit.h"

#include <algorithm>

namespace acaciacross::limits {

namespace {

// A query has an attempt on every shard, so that 16 queries show a shed part of
// a few percent. Changing the limit more often would react to the same overload
// several times.
constexpr std::uint32_t RoundSize = 16;

constexpr double StartFactor = 1.5;
constexpr double Increase = 0.25;
// Gentle, because a limit of 2 on each of 9 VMs is near what 60 slots can take,
// and halving it would leave slots idle.
constexpr double DecreaseFactor = 0.85;

// The lowest median counts for one to two of these periods. A service that has
// become slower for good is not taken for a loaded one for longer.
constexpr std::chrono::minutes RotationPeriod{5};

constexpr double MedianFraction = 0.5;

} // namespace

AdaptiveLimit::AdaptiveLimit(AdaptiveLimitSettings Bounds)
    : Bounds(Bounds), Latencies(RoundSize) {}

void AdaptiveLimit::reconfigure(AdaptiveLimitSettings Changed) {
  this->Bounds = Changed;
}

std::uint32_t AdaptiveLimit::value() const {
  return static_cast<std::uint32_t>(this->Limit);
}

void AdaptiveLimit::onFinished(common::MonotonicTime Now,
                               std::chrono::nanoseconds Latency,
                               double ShedPart, bool IsUsedUp) {
  this->Latencies.add(Latency);
  this->ShedInRound += ShedPart;
  this->UsedUpInRound += IsUsedUp ? 1 : 0;
  if (++this->FinishedInRound == RoundSize)
    this->endRound(Now);
}

std::chrono::nanoseconds AdaptiveLimit::queueingDelay() const {
  if (!this->Median)
    return std::chrono::nanoseconds(0);
  const std::chrono::nanoseconds Lowest =
      std::min(this->LowestNow.value_or(*this->Median),
               this->LowestBefore.value_or(*this->Median));
  return *this->Median - Lowest;
}

void AdaptiveLimit::endRound(common::MonotonicTime Now) {
  this->measureDelay(Now);
  const bool IsOverloaded =
      this->ShedInRound > this->Bounds.ToleratedShedPart * RoundSize ||
      this->queueingDelay() > this->Bounds.ToleratedDelay;
  if (IsOverloaded)
    this->decrease();
  else if (this->UsedUpInRound * 2 >= RoundSize)
    this->increase();
  this->FinishedInRound = 0;
  this->UsedUpInRound = 0;
  this->ShedInRound = 0.0;
}

void AdaptiveLimit::measureDelay(common::MonotonicTime Now) {
  this->Median = this->Latencies.quantile(MedianFraction);
  if (Now >= this->NextRotationAt) {
    this->LowestBefore = this->LowestNow;
    this->LowestNow.reset();
    this->NextRotationAt = Now + RotationPeriod;
  }
  this->LowestNow =
      std::min(this->LowestNow.value_or(*this->Median), *this->Median);
}

// Only called while the limit is used up: one that rises in quiet hours would
// let the next burst through.
void AdaptiveLimit::increase() {
  const double Raised =
      this->IsStarting ? this->Limit * StartFactor : this->Limit + Increase;
  this->Limit = std::min<double>(Raised, std::max(this->Bounds.Max, 1U));
}

void AdaptiveLimit::decrease() {
  this->IsStarting = false;
  this->Limit = std::max(this->Limit * DecreaseFactor, 1.0);
}

} // namespace acaciacross::limits
