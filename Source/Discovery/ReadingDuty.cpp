#include "Discovery/ReadingDuty.h"

#include <algorithm>

namespace acaciacross::discovery {

namespace {

// A reader's watch lasts 1.5 s at most, and its age takes two rounds of probes
// to spread. What changes must be in effect 3 s later, and the first call of
// this VM takes some of the rest.
constexpr std::chrono::milliseconds OldestAnswer{2'100};
// Once begun, reading goes on for a while: whoever lost the readers is likely
// to hear late of the new ones.
constexpr std::chrono::milliseconds LeastReading{4'000};
constexpr std::chrono::milliseconds LongestAge{60'000};

} // namespace

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
  if (this->answerAge(Now) > OldestAnswer)
    this->ReadsUntil = Now + LeastReading;
  return IsElected || !HasAll || Now < this->ReadsUntil;
}

} // namespace acaciacross::discovery
