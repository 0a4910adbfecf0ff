#include "Discovery/ReadingDuty.h"

#include <algorithm>

namespace acaciacross::discovery {

namespace {

// A reader's watch lasts 1.5 s at most, and its age takes two rounds of probes
// to spread: 2.1 s of the 3 s in which changes must be in effect. The first
// call of this VM takes some of the rest.
constexpr double OldestAnswerPart = 0.7;
// Readers are heard of within two rounds of probes once they have read.
constexpr std::chrono::milliseconds PeerTime{1'500};
// Once begun, reading goes on for a while: whoever lost the readers is likely
// to hear late of the new ones.
constexpr std::chrono::milliseconds LeastReading{4'000};
constexpr std::chrono::milliseconds LongestAge{60'000};

} // namespace

ReadingDuty::ReadingDuty(std::chrono::milliseconds ChangesApplyWithin)
    : OldestAnswer(std::chrono::duration_cast<std::chrono::milliseconds>(
          OldestAnswerPart * ChangesApplyWithin)) {}

void ReadingDuty::noteAnswer(common::MonotonicTime At) {
  this->AnsweredAt = std::max(this->AnsweredAt.value_or(At), At);
}

std::chrono::milliseconds
ReadingDuty::answerAge(common::MonotonicTime Now) const {
  if (!this->AnsweredAt)
    return LongestAge;
  return std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(
                        Now - *this->AnsweredAt),
                    std::chrono::milliseconds(0), LongestAge);
}

bool ReadingDuty::mustRead(common::MonotonicTime Now, bool IsElected,
                           bool HasAll) {
  if (!HasAll || IsElected)
    return true;
  if (!this->CompleteAt)
    this->CompleteAt = Now;
  // A VM that has just started gives its peers time to tell of their answers;
  // otherwise a whole fleet that starts would watch the store.
  const std::chrono::milliseconds Age = this->answerAge(Now);
  const bool IsNew = Age >= LongestAge && Now - *this->CompleteAt <= PeerTime;
  if (!IsNew && Age > this->OldestAnswer)
    this->ReadsUntil = Now + LeastReading;
  return Now < this->ReadsUntil;
}

} // namespace acaciacross::discovery
