#include "Membership/StopSchedule.h"

#include <gtest/gtest.h>

namespace acaciacross::membership {

using std::chrono::milliseconds;

class StopScheduleTest : public testing::Test {
protected:
  static constexpr common::MonotonicTime Start{std::chrono::hours(1)};
};

// A process that answers after it was killed, or exits before it has answered,
// cuts requests.
TEST_F(StopScheduleTest, AnswersPrecedeTheExitAndTheExitPrecedesTheKill) {
  for (const milliseconds KillAfter :
       {milliseconds(1'000), milliseconds(6'000), milliseconds(30'000)}) {
    const StopSchedule Schedule = StopSchedule::of(Start, KillAfter);
    EXPECT_LT(Schedule.AdmitAllUntil, Start + KillAfter);
    EXPECT_LT(Schedule.AnswerBy, Schedule.ExitBy);
    EXPECT_LT(Schedule.ExitBy, Start + KillAfter);
  }
}

TEST_F(StopScheduleTest, TimesOfAVeryShortStopAreNotBeforeItsStart) {
  const StopSchedule Schedule = StopSchedule::of(Start, milliseconds(100));
  EXPECT_EQ(Schedule.AnswerBy, Start);
  EXPECT_EQ(Schedule.ExitBy, Start);
}

} // namespace acaciacross::membership
