#include "Configuration/FallbackReadSchedule.h"

#include <algorithm>

namespace acaciacross::configuration {

namespace {

// One half of the call budget is for these reads, the other half for the
// elected readers.
constexpr std::uint64_t BudgetDivisor = 2;

} // namespace

FallbackReadSchedule::FallbackReadSchedule(common::RandomSource &RandomNumbers)
    : Random(RandomNumbers) {}

std::chrono::milliseconds
FallbackReadSchedule::period(const DeploymentBudget &Budget) {
  const std::uint64_t CallsPerSecond =
      std::max<std::uint64_t>(Budget.MaxConfigurationCallsPerSecond, 1);
  const std::uint64_t NeededMs =
      (std::uint64_t{Budget.MaxEntryVms} * 1000 * BudgetDivisor +
       CallsPerSecond - 1) /
      CallsPerSecond;
  return std::max(MaxFreshAge, std::chrono::milliseconds(NeededMs));
}

void FallbackReadSchedule::setBudget(const DeploymentBudget &Budget) {
  this->Period = period(Budget);
}

void FallbackReadSchedule::recordAnswer(common::MonotonicTime At) {
  if (this->PauseEndedAt && At < *this->PauseEndedAt)
    return;
  if (!this->AnsweredAt || At > *this->AnsweredAt)
    this->AnsweredAt = At;
}

// The age counts from the time the probe was sent, because the acknowledgement
// may have waited in a buffer. The answer may thus be considered older than it
// is, but never younger.
void FallbackReadSchedule::recordPeerAnswerAge(std::chrono::milliseconds Age,
                                               common::MonotonicTime SentAt) {
  if (Age < MaxAnswerAge)
    this->recordAnswer(SentAt - Age);
}

void FallbackReadSchedule::discardAnswers(common::MonotonicTime PauseEnd) {
  this->PauseEndedAt = PauseEnd;
  this->AnsweredAt.reset();
}

std::chrono::milliseconds
FallbackReadSchedule::answerAge(common::MonotonicTime Now) const {
  if (!this->AnsweredAt || Now - *this->AnsweredAt >= MaxAnswerAge)
    return MaxAnswerAge;
  const auto Age =
      std::chrono::ceil<std::chrono::milliseconds>(Now - *this->AnsweredAt);
  return std::max(Age, std::chrono::milliseconds(0));
}

// Reads of one VM are at least one period apart, even if answers of peers
// arrive in between: such an answer may be just below the age limit and must
// not cause an additional read. The first read is delayed by a random time, so
// that VMs which lost the same reader do not call at the same time, then or
// later.
bool FallbackReadSchedule::takeDueRead(common::MonotonicTime Now) {
  if (this->answerAge(Now) <= MaxFreshAge) {
    this->NextReadAt.reset();
    return false;
  }
  if (!this->NextReadAt) {
    const auto PeriodMs = static_cast<std::uint64_t>(this->Period.count());
    const std::chrono::milliseconds Delay(this->Random.below(PeriodMs));
    this->NextReadAt = std::max(Now + Delay, this->EarliestReadAt);
  }
  if (Now < *this->NextReadAt)
    return false;
  this->EarliestReadAt = Now + this->Period;
  this->NextReadAt = this->EarliestReadAt;
  return true;
}

} // namespace acaciacross::configuration
