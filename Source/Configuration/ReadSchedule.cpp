#include "Configuration/ReadSchedule.h"

#include <algorithm>

namespace acaciacross::configuration {

namespace {

// The rest of the budget is for the elected readers.
constexpr std::uint64_t ScheduleShare = 2;

} // namespace

ReadSchedule::ReadSchedule(common::RandomSource &RandomNumbers)
    : Random(RandomNumbers) {}

std::chrono::milliseconds ReadSchedule::period(const DeploymentBudget &Budget) {
  const std::uint64_t Calls =
      std::max<std::uint64_t>(Budget.MaxConfigurationCallsPerSecond, 1);
  const std::uint64_t Needed =
      (std::uint64_t{Budget.MaxEntryVms} * 1000 * ScheduleShare + Calls - 1) /
      Calls;
  return std::max(FreshLimit, std::chrono::milliseconds(Needed));
}

void ReadSchedule::setBudget(const DeploymentBudget &Budget) {
  this->Period = period(Budget);
}

void ReadSchedule::noteAnswer(common::MonotonicTime At) {
  if (this->PauseEndedAt && At < *this->PauseEndedAt)
    return;
  if (!this->AnsweredAt || At > *this->AnsweredAt)
    this->AnsweredAt = At;
}

// From the time of sending, since the acknowledgement may have waited in a
// buffer: an answer may be taken for older than it is, never for younger.
void ReadSchedule::notePeer(std::chrono::milliseconds Age,
                            common::MonotonicTime SentAt) {
  if (Age < MaxAge)
    this->noteAnswer(SentAt - Age);
}

void ReadSchedule::discardAnswers(common::MonotonicTime PauseEnd) {
  this->PauseEndedAt = PauseEnd;
  this->AnsweredAt.reset();
}

std::chrono::milliseconds
ReadSchedule::answerAge(common::MonotonicTime Now) const {
  if (!this->AnsweredAt || Now - *this->AnsweredAt >= MaxAge)
    return MaxAge;
  const auto Age =
      std::chrono::ceil<std::chrono::milliseconds>(Now - *this->AnsweredAt);
  return std::max(Age, std::chrono::milliseconds(0));
}

// Reads of one VM are a period apart, also when answers come and go: the age of
// an answer that is heard of may be just below the limit, and each such answer
// must not bring another read. The random first time keeps VMs that lost the
// same reader from calling together; they stay apart afterwards.
bool ReadSchedule::takeDueRead(common::MonotonicTime Now) {
  if (this->answerAge(Now) <= FreshLimit) {
    this->ReadAt.reset();
    return false;
  }
  if (!this->ReadAt) {
    const auto Spread = static_cast<std::uint64_t>(this->Period.count());
    const std::chrono::milliseconds Delay(this->Random.below(Spread));
    this->ReadAt = std::max(Now + Delay, this->NotBefore);
  }
  if (Now < *this->ReadAt)
    return false;
  this->NotBefore = Now + this->Period;
  this->ReadAt = this->NotBefore;
  return true;
}

} // namespace acaciacross::configuration
