#ifndef ACACIACROSS_CONFIGURATION_FALLBACKREADSCHEDULE_H
#define ACACIACROSS_CONFIGURATION_FALLBACKREADSCHEDULE_H

#include "Common/RandomSource.h"
#include "Common/Time.h"
#include "Configuration/DeploymentBudget.h"

#include <chrono>
#include <optional>

namespace acaciacross::configuration {

/// Schedules the reads of the configuration service by a VM that is not elected
/// as a reader. It reads only while neither the VM itself nor any peer that it
/// hears of has had a recent answer.
class FallbackReadSchedule {
public:
  /// An answer up to this age proves that some VM can read the service.
  static constexpr std::chrono::milliseconds MaxFreshAge{4000};
  /// Maximum age of an answer; also the age if there has been no answer.
  static constexpr std::chrono::milliseconds MaxAnswerAge{60'000};

  /// The random source must outlive the schedule.
  explicit FallbackReadSchedule(common::RandomSource &RandomNumbers);

  /// Time between the reads of one VM. It keeps the reads of the whole fleet
  /// within half of the budget.
  static std::chrono::milliseconds period(const DeploymentBudget &Budget);

  void setBudget(const DeploymentBudget &Budget);

  /// Records that the service answered this VM at the given time.
  void recordAnswer(common::MonotonicTime At);
  /// Records the age of the last answer that a peer reported in the
  /// acknowledgement of a probe sent at SentAt.
  void recordPeerAnswerAge(std::chrono::milliseconds Age,
                           common::MonotonicTime SentAt);
  /// Discards all answers from before the end of a pause of this VM.
  void discardAnswers(common::MonotonicTime PauseEnd);

  /// Time since the last known answer to any VM, in [0, MaxAnswerAge].
  std::chrono::milliseconds answerAge(common::MonotonicTime Now) const;

  /// Returns true if a read is due now, once for each due read.
  bool takeDueRead(common::MonotonicTime Now);

private:
  common::RandomSource &Random;
  std::chrono::milliseconds Period = MaxFreshAge;
  std::optional<common::MonotonicTime> AnsweredAt;
  std::optional<common::MonotonicTime> PauseEndedAt;
  std::optional<common::MonotonicTime> NextReadAt;
  /// End of the period that began with the last read.
  common::MonotonicTime EarliestReadAt;
};

} // namespace acaciacross::configuration

#endif
