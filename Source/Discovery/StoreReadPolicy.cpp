#include "Discovery/StoreReadPolicy.h"

#include "Discovery/StoreReadMode.h"

#include <algorithm>
#include <cmath>

namespace acaciacross::discovery {

namespace {

// A watch of a reader lasts at most 1.5 s, and the age of its answer takes two
// rounds of probes to reach the peers. That fits into 2.1 s of the 3 s within
// which changes must be in effect; the rest is for the first call of this VM.
constexpr double MaxAnswerAgeShare = 0.7;
// The last VM begins this much later than the first one. Its first call still
// ends before changes must be in effect.
constexpr double FallbackSpreadShare = 0.15;
// A reader's answer is known to its peers within two rounds of probes.
constexpr std::chrono::milliseconds PeerReportTime{1'500};
// Reading continues for this time: a VM that lost contact with the readers is
// likely to learn late of the new ones. For the first VMs only; the others stop
// when they hear of an answer.
constexpr std::chrono::milliseconds MinReadingTime{4'000};
constexpr std::size_t LongReaderCount = 4;
constexpr std::chrono::milliseconds ShortReadingTime{1'000};
// Calls a second of all VMs that are no elected readers, while the store does
// not answer.
constexpr double FallbackCallsPerSecond = 8.0;
constexpr std::chrono::milliseconds MaxBackOffLimit{30'000};
constexpr std::chrono::milliseconds MaxReportedAge{60'000};

std::chrono::milliseconds
ageOf(const std::optional<common::MonotonicTime> &AnsweredAt,
      common::MonotonicTime Now) {
  if (!AnsweredAt)
    return MaxReportedAge;
  return std::clamp(
      std::chrono::duration_cast<std::chrono::milliseconds>(Now - *AnsweredAt),
      std::chrono::milliseconds(0), MaxReportedAge);
}

} // namespace

StoreReadPolicy::StoreReadPolicy(std::chrono::milliseconds MaxChangeDelay)
    : MaxAnswerAge(std::chrono::duration_cast<std::chrono::milliseconds>(
          MaxAnswerAgeShare * MaxChangeDelay)),
      FallbackSpread(std::chrono::duration_cast<std::chrono::milliseconds>(
          FallbackSpreadShare * MaxChangeDelay)) {}

void StoreReadPolicy::recordAnswer(common::MonotonicTime At,
                                   std::uint64_t Era) {
  this->AnsweredAt = std::max(this->AnsweredAt.value_or(At), At);
  if (Era > this->AnswerEra)
    this->EraAnsweredAt.reset();
  this->AnswerEra = std::max(this->AnswerEra, Era);
  if (Era == this->AnswerEra)
    this->EraAnsweredAt = std::max(this->EraAnsweredAt.value_or(At), At);
}

void StoreReadPolicy::recordPeerAnswer(common::MonotonicTime At,
                                       common::StorePosition PeerPosition,
                                       common::StorePosition OwnPosition) {
  // The revisions of an older era say nothing of what this VM has of its own.
  if (PeerPosition.Era == OwnPosition.Era && PeerPosition <= OwnPosition)
    this->recordAnswer(At, OwnPosition.Era);
}

std::chrono::milliseconds
StoreReadPolicy::answerAge(common::MonotonicTime Now) const {
  return ageOf(this->AnsweredAt, Now);
}

// What this VM knew by an answer of an older era is not all in the revisions of
// the newer one, so a peer that has these may lack some of it.
std::chrono::milliseconds
StoreReadPolicy::reportedAge(common::MonotonicTime Now,
                             std::uint64_t Era) const {
  if (Era != this->AnswerEra)
    return MaxReportedAge;
  return ageOf(this->EraAnsweredAt, Now);
}

bool StoreReadPolicy::mustRead(common::MonotonicTime Now, bool IsElected,
                               bool HasSnapshot, const FallbackRank &Rank) {
  if (!HasSnapshot || IsElected)
    return true;
  if (!this->SnapshotAt)
    this->SnapshotAt = Now;
  // A VM that has just started waits for its peers to report their answers.
  // Otherwise all VMs of a starting fleet would watch the store.
  const std::chrono::milliseconds Age = this->answerAge(Now);
  const bool AwaitsPeers =
      Age >= MaxReportedAge && Now - *this->SnapshotAt <= PeerReportTime;
  if (!AwaitsPeers && Age > this->fallbackAge(Rank))
    this->ReadsUntil =
        Now +
        (Rank.Position < LongReaderCount ? MinReadingTime : ShortReadingTime);
  return Now < this->ReadsUntil;
}

std::chrono::milliseconds
StoreReadPolicy::maxBackOff(bool IsElected, bool HasSnapshot,
                            const FallbackRank &Rank) {
  if (IsElected || !HasSnapshot)
    return StoreReadMode::UsualMaxBackOff;
  const std::chrono::duration<double> Shared(static_cast<double>(Rank.Count) /
                                             FallbackCallsPerSecond);
  return std::clamp(
      std::chrono::duration_cast<std::chrono::milliseconds>(Shared),
      StoreReadMode::UsualMaxBackOff, MaxBackOffLimit);
}

// The number of VMs that read doubles in equal steps of time.
std::chrono::milliseconds
StoreReadPolicy::fallbackAge(const FallbackRank &Rank) const {
  if (Rank.Count < 2)
    return this->MaxAnswerAge;
  const double Share = std::log2(1.0 + static_cast<double>(Rank.Position)) /
                       std::log2(static_cast<double>(Rank.Count));
  return this->MaxAnswerAge +
         std::chrono::duration_cast<std::chrono::milliseconds>(
             std::min(1.0, Share) * this->FallbackSpread);
}

} // namespace acaciacross::discovery
