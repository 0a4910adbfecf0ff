#ifndef ACACIACROSS_DISCOVERY_READINGDUTY_H
#define ACACIACROSS_DISCOVERY_READINGDUTY_H

#include "Common/Time.h"

#include <chrono>
#include <optional>

namespace acaciacross::discovery {

/// Decides whether this VM reads the store itself. Answers the load that a
/// fleet puts on the store: a few elected readers suffice while their peers
/// hear of fresh answers.
class ReadingDuty {
public:
  /// ChangesApplyWithin: the time after which what changes must be in effect.
  explicit ReadingDuty(std::chrono::milliseconds ChangesApplyWithin);

  /// The store answered this VM, or a peer that it heard of, at that time.
  void noteAnswer(common::MonotonicTime At);
  /// How long ago that was; a minute when it never did.
  std::chrono::milliseconds answerAge(common::MonotonicTime Now) const;

  /// IsElected: one of the readers of the fleet. HasAll: everything was read
  /// once, here or at a peer.
  bool mustRead(common::MonotonicTime Now, bool IsElected, bool HasAll);

private:
  std::chrono::milliseconds OldestAnswer;
  std::optional<common::MonotonicTime> AnsweredAt;
  /// When this VM first had everything.
  std::optional<common::MonotonicTime> CompleteAt;
  common::MonotonicTime ReadsUntil;
};

} // namespace acaciacross::discovery

#endif
