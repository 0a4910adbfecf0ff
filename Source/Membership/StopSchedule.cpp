#include "Membership/StopSchedule.h"

#include <algorithm>

namespace acaciacross::membership {

namespace {

// Threads have to be joined and log lines written before the process is killed.
constexpr std::chrono::milliseconds ExitMargin{400};
// The last answers have to reach callers before the process exits.
constexpr std::chrono::milliseconds DeliveryTime{250};

} // namespace

StopSchedule StopSchedule::of(common::MonotonicTime StoppingSince,
                              std::chrono::milliseconds KillAfter) {
  StopSchedule Result;
  Result.ExitBy =
      std::max(StoppingSince, StoppingSince + KillAfter - ExitMargin);
  Result.AnswerBy = std::max(StoppingSince, Result.ExitBy - DeliveryTime);
  Result.AdmitAllUntil = StoppingSince + KillAfter / 2;
  return Result;
}

} // namespace acaciacross::membership
