#include "Upstreams/FailureStatistics.h"

namespace acaciacross::upstreams {

namespace {

constexpr std::chrono::seconds PeriodLength{5};
constexpr std::uint32_t FailureWeight = 2;
constexpr std::uint32_t CancelledWeight = 1;

std::int64_t periodNumber(common::MonotonicTime At) {
  return At.time_since_epoch() / PeriodLength;
}

} // namespace

void FailureStatistics::add(query::AttemptStatus Status,
                            common::MonotonicTime At) {
  if (Status == query::AttemptStatus::Cancelled) {
    this->Score += CancelledWeight;
    return;
  }
  Period &Current = this->periodOf(At);
  ++Current.Results;
  this->LastResult = At;
  this->LastResultFailed = Status == query::AttemptStatus::NotSent ||
                           Status == query::AttemptStatus::Lost;
  if (this->LastResultFailed) {
    ++Current.Failures;
    this->Score += FailureWeight;
    return;
  }
  // A refusal proves that the searcher is alive, as an answer does.
  this->LastResponse = At;
  this->Score = 0;
}

void FailureStatistics::clear() {
  this->Periods[0] = Period();
  this->Periods[1] = Period();
  this->Score = 0;
  this->LastResultFailed = false;
}

std::uint32_t FailureStatistics::failureScore() const { return this->Score; }

std::uint32_t
FailureStatistics::recentResults(common::MonotonicTime Now) const {
  return this->sumRecent(Now).Results;
}

std::uint32_t
FailureStatistics::recentFailures(common::MonotonicTime Now) const {
  return this->sumRecent(Now).Failures;
}

bool FailureStatistics::isFailing() const { return this->LastResultFailed; }

std::optional<common::MonotonicTime> FailureStatistics::lastResultAt() const {
  return this->LastResult;
}

std::optional<common::MonotonicTime> FailureStatistics::lastResponseAt() const {
  return this->LastResponse;
}

FailureStatistics::Period
FailureStatistics::sumRecent(common::MonotonicTime Now) const {
  Period Sum;
  for (const Period &Entry : this->Periods) {
    if (Entry.Number < periodNumber(Now) - 1)
      continue;
    Sum.Results += Entry.Results;
    Sum.Failures += Entry.Failures;
  }
  return Sum;
}

FailureStatistics::Period &
FailureStatistics::periodOf(common::MonotonicTime At) {
  const std::int64_t Number = periodNumber(At);
  Period &Current = this->Periods[static_cast<std::size_t>(Number & 1)];
  // A late result counts in the period that has replaced its own.
  if (Current.Number < Number) {
    Current = Period();
    Current.Number = Number;
  }
  return Current;
}

} // namespace acaciacross::upstreams
