#ifndef ACACIACROSS_CONFIGURATION_READSCHEDULE_H
#define ACACIACROSS_CONFIGURATION_READSCHEDULE_H

#include "Common/RandomSource.h"
#include "Common/Time.h"
#include "Configuration/DeploymentBudget.h"

#include <chrono>
#include <optional>

namespace acaciacross::configuration {

/// When a VM that is not elected as a reader reads the configuration service
/// itself: while nobody that it hears of has had an answer lately.
class ReadSchedule {
public:
  /// An answer up to this age shows that some VM reads the service.
  static constexpr std::chrono::milliseconds FreshLimit{4000};
  /// Age of an answer that never came; also the greatest age.
  static constexpr std::chrono::milliseconds MaxAge{60'000};

  /// The random source must outlive the schedule.
  explicit ReadSchedule(common::RandomSource &RandomNumbers);

  /// One read per VM and period keeps the fleet within half of the budget.
  static std::chrono::milliseconds period(const DeploymentBudget &Budget);

  void setBudget(const DeploymentBudget &Budget);

  /// The service answered this VM at that time.
  void noteAnswer(common::MonotonicTime At);
  /// A peer said this age in the acknowledgement of a probe sent at SentAt.
  void notePeer(std::chrono::milliseconds Age, common::MonotonicTime SentAt);
  /// Drops all answers from before the end of a pause of this VM.
  void discardAnswers(common::MonotonicTime PauseEnd);

  /// How long ago the service answered anyone, in [0, MaxAge].
  std::chrono::milliseconds answerAge(common::MonotonicTime Now) const;

  /// Whether to read now; true once for each read that is due.
  bool takeDueRead(common::MonotonicTime Now);

private:
  common::RandomSource &Random;
  std::chrono::milliseconds Period = FreshLimit;
  std::optional<common::MonotonicTime> AnsweredAt;
  std::optional<common::MonotonicTime> PauseEndedAt;
  std::optional<common::MonotonicTime> ReadAt;
  /// A period after the last read.
  common::MonotonicTime NotBefore;
};

} // namespace acaciacross::configuration

#endif
