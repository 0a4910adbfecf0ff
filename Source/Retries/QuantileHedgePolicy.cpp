#include "Retries/QuantileHedgePolicy.h"

#include <algorithm>

namespace acaciacross::retries {

namespace {

// At 10 shards and 50 queries/s the window covers 4 to 8 s, and its 99th
// percentile is based on at least 20 samples.
constexpr std::uint32_t WindowSamples = 2'000;

// With fewer samples, the 95th percentile is based on fewer than 5 of them.
constexpr std::uint32_t MinimumSamples = 100;

// delay() is called for every attempt, and the histogram has over 200 buckets,
// so the quantile is not computed for each call.
constexpr std::uint32_t RepliesPerRefresh = 32;

// Below the median, most hedges would duplicate attempts at healthy replicas.
constexpr double LowestQuantile = 0.5;

} // namespace

QuantileHedgePolicy::QuantileHedgePolicy(double ExtraLoadTarget,
                                         HedgeBounds Limits)
    : ExtraLoadTarget(ExtraLoadTarget), Limits(Limits),
      Latencies(WindowSamples) {}

std::optional<std::chrono::nanoseconds> QuantileHedgePolicy::delay() const {
  return this->CurrentDelay;
}

void QuantileHedgePolicy::onReply(std::chrono::nanoseconds Elapsed) {
  this->Latencies.add(Elapsed);
  ++this->RepliesSinceRefresh;
  if (this->RepliesSinceRefresh >= RepliesPerRefresh || !this->CurrentDelay)
    this->refresh();
}

void QuantileHedgePolicy::reconfigure(double NewTarget, HedgeBounds NewLimits) {
  this->ExtraLoadTarget = NewTarget;
  this->Limits = NewLimits;
  this->refresh();
}

void QuantileHedgePolicy::refresh() {
  this->RepliesSinceRefresh = 0;
  this->CurrentDelay.reset();
  const bool IsMeasured = this->Latencies.size() >= MinimumSamples;
  if (this->ExtraLoadTarget <= 0.0 || !IsMeasured)
    return;
  const double Quantile = std::max(1.0 - this->ExtraLoadTarget, LowestQuantile);
  const std::chrono::nanoseconds Measured = *this->Latencies.quantile(Quantile);
  const std::chrono::nanoseconds MaxDelay =
      std::max(this->Limits.MaxDelay, this->Limits.MinDelay);
  this->CurrentDelay = std::clamp(Measured, this->Limits.MinDelay, MaxDelay);
}

} // namespace acaciacross::retries
