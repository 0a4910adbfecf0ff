#include "Discovery/StoreReadPolicy.h"

#include <algorithm>

namespace acaciacross::discovery {

namespace {

// A watch of a reader lasts at most 1.5 s, and the age of its answer takes two
// rounds of probes to reach the peers. That fits into 2.1 s of the 3 s within
// which changes must be in effect; the rest is for the first call of this VM.
constexpr double MaxAnswerAgeShare = 0.7;
// A reader's answer is known to its peers within two rounds of probes.
constexpr std::chrono::milliseconds PeerReportTime{1'500};
// Reading continues for this time: a VM that lost contact with the readers is
// likely to learn late of the new ones.
constexpr std::chrono::milliseconds MinReadingTime{4'000};
constexpr std::chrono::milliseconds MaxReportedAge{60'000};

} // namespace

StoreReadPolicy::StoreReadPolicy(std::chrono::milliseconds MaxChangeDelay)
    : MaxAnswerAge(std::chrono::duration_cast<std::chrono::milliseconds>(
          MaxAnswerAgeShare * MaxChangeDelay)) {}

void StoreReadPolicy::recordAnswer(common::MonotonicTime At) {
  this->AnsweredAt = std::max(this->AnsweredAt.value_or(At), At);
}

std::chrono::milliseconds
StoreReadPolicy::answerAge(common::MonotonicTime Now) const {
  if (!this->AnsweredAt)
    return MaxReportedAge;
  return std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(
                        Now - *this->AnsweredAt),
                    std::chrono::milliseconds(0), MaxReportedAge);
}

bool StoreReadPolicy::mustRead(common::MonotonicTime Now, bool IsElected,
                               bool HasSnapshot) {
  if (!HasSnapshot || IsElected)
    return true;
  if (!this->SnapshotAt)
    this->SnapshotAt = Now;
  // A VM that has just started waits for its peers to report their answers.
  // Otherwise all VMs of a starting fleet would watch the store.
  const std::chrono::milliseconds Age = this->answerAge(Now);
  const bool AwaitsPeers =
      Age >= MaxReportedAge && Now - *this->SnapshotAt <= PeerReportTime;
  if (!AwaitsPeers && Age > this->MaxAnswerAge)
    this->ReadsUntil = Now + MinReadingTime;
  return Now < this->ReadsUntil;
}

} // namespace acaciacross::discovery
