#include "Limits/AdaptiveLimit.h"

#include <algorithm>

namespace acaciacross::limits {

namespace {

// Every query has an attempt on each shard, so 16 queries are enough to detect
// a shed share of a few percent. More frequent changes would react several
// times to the same overload.
constexpr std::uint32_t RoundSize = 16;

constexpr double StartIncreaseFactor = 1.5;
constexpr double IncreaseStep = 0.25;
// A small step, because a limit of 2 on each of 9 VMs is close to the capacity
// of 60 slots, and halving the limit would leave slots idle.
constexpr double DecreaseFactor = 0.85;

// The lowest median is kept for one to two of these periods. So a service that
// has become slower permanently is not mistaken for an overloaded one for
// longer.
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
                               double ShedShare, bool IsUsedUp) {
  this->Latencies.add(Latency);
  this->ShedInRound += ShedShare;
  this->UsedUpInRound += IsUsedUp ? 1 : 0;
  if (++this->FinishedInRound == RoundSize)
    this->endRound(Now);
}

std::chrono::nanoseconds AdaptiveLimit::queueingDelay() const {
  if (!this->Median)
    return std::chrono::nanoseconds(0);
  const std::chrono::nanoseconds Lowest =
      std::min(this->LowestMedian.value_or(*this->Median),
               this->PreviousLowestMedian.value_or(*this->Median));
  return *this->Median - Lowest;
}

void AdaptiveLimit::endRound(common::MonotonicTime Now) {
  this->measureDelay(Now);
  const bool IsOverloaded =
      this->ShedInRound > this->Bounds.ToleratedShedShare * RoundSize ||
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
    this->PreviousLowestMedian = this->LowestMedian;
    this->LowestMedian.reset();
    this->NextRotationAt = Now + RotationPeriod;
  }
  this->LowestMedian =
      std::min(this->LowestMedian.value_or(*this->Median), *this->Median);
}

// Only called while the limit is fully used. A limit that rises at low load
// would not limit the next burst.
void AdaptiveLimit::increase() {
  const double Raised = this->IsStarting ? this->Limit * StartIncreaseFactor
                                         : this->Limit + IncreaseStep;
  this->Limit = std::min<double>(Raised, std::max(this->Bounds.Max, 1U));
}

void AdaptiveLimit::decrease() {
  this->IsStarting = false;
  this->Limit = std::max(this->Limit * DecreaseFactor, 1.0);
}

} // namespace acaciacross::limits
