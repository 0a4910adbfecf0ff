#ifndef ACACIACROSS_MEMBERSHIP_STOPSCHEDULE_H
#define ACACIACROSS_MEMBERSHIP_STOPSCHEDULE_H

#include "Common/Time.h"

#include <chrono>

namespace acaciacross::membership {

/// The times of a planned stop whose process is killed after a fixed time.
struct StopSchedule {
  /// Until then, requests with any deadline are admitted.
  common::MonotonicTime AdmitAllUntil;
  /// Each request in progress gets its final answer by then.
  common::MonotonicTime AnswerBy;
  /// The process exits by then, whatever its callers have not read.
  common::MonotonicTime ExitBy;

  /// KillAfter: time from the stop signal until the process is killed.
  static StopSchedule of(common::MonotonicTime StoppingSince,
                         std::chrono::milliseconds KillAfter);
};

} // namespace acaciacross::membership

#endif
