#include "Upstreams/FailureStatistics.h"

namespace acaciacross::upstreams {

namespace {

constexpr std::chrono::seconds PeriodLength{5};
constexpr std::uint32_t FailureWeight = 2;
constexpr std::uint32_t CancelledWeight = 1;

std::int64_t numberOf(common::MonotonicTime At) {
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
  this->Failing = Status == query::AttemptStatus::NotSent ||
                  Status == query::AttemptStatus::Lost;
  if (this->Failing) {
    ++Current.Failures;
    this->Score += FailureWeight;
    return;
  }
  // A refusal shows a live searcher as well as an answer does.
  this->LastResponse = At;
  this->Score = 0;
}

void FailureStatistics::clear() {
  this->Periods[0] = Period();
  this->Periods[1] = Period();
  this->Score = 0;
  this->Failing = false;
}

std::uint32_t FailureStatistics::failureScore() const { return this->Score; }

std::uint32_t
FailureStatistics::recentResults(common::MonotonicTime Now) const {
  return this->recent(Now).Results;
}

std::uint32_t
FailureStatistics::recentFailures(common::MonotonicTime Now) const {
  return this->recent(Now).Failures;
}

bool FailureStatistics::isFailing() const { return this->Failing; }

std::optional<common::MonotonicTime> FailureStatistics::lastResultAt() const {
  return this->LastResult;
}

std::optional<common::MonotonicTime> FailureStatistics::lastResponseAt() const {
  return this->LastResponse;
}

FailureStatistics::Period
FailureStatistics::recent(common::MonotonicTime Now) const {
  Period Sum;
  for (const Period &Each : this->Periods) {
    if (Each.Number < numberOf(Now) - 1)
      continue;
    Sum.Results += Each.Results;
    Sum.Failures += Each.Failures;
  }
  return Sum;
}

FailureStatistics::Period &
FailureStatistics::periodOf(common::MonotonicTime At) {
  const std::int64_t Number = numberOf(At);
  Period &Current = this->Periods[static_cast<std::size_t>(Number & 1)];
  // Late results count in the period that has replaced theirs.
  if (Current.Number < Number) {
    Current = Period();
    Current.Number = Number;
  }
  return Current;
}

} // namespace acaciacross::upstreams
