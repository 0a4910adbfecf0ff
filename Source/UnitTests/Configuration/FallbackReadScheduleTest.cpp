#include "Configuration/FallbackReadSchedule.h"
#include "UnitTests/Configuration/SimulatedFleet.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace acaciacross::configuration {

class FallbackReadScheduleTest : public testing::Test {
protected:
  static constexpr std::uint64_t ScheduleCount = 10'000;

  common::MonotonicTime now() const { return this->Clock.monotonicNow(); }

  testsupport::ManualClock Clock;
  common::SeededRandom Random{20261204};
  FallbackReadSchedule Schedule{this->Random};
};

// P8: guards against a change that does not reach the fleet because the elected
// readers cannot read the service, although some other VM can.
TEST_F(FallbackReadScheduleTest,
       ChangeIsInEffectEverywhereWithinElevenSeconds) {
  std::size_t LateSchedules = 0;
  std::size_t OverBudgetSchedules = 0;
  std::uint64_t FirstLateSeed = 0;
  for (std::uint64_t Seed = 1; Seed <= ScheduleCount; ++Seed) {
    SimulatedFleet Fleet(Seed);
    Fleet.run();
    if (Fleet.countOutdated() > 0 && ++LateSchedules == 1)
      FirstLateSeed = Seed;
    if (Fleet.maxCallsPerSecond() >
        Fleet.budget().MaxConfigurationCallsPerSecond)
      ++OverBudgetSchedules;
  }
  EXPECT_EQ(LateSchedules, 0U) << "first seed: " << FirstLateSeed;
  EXPECT_EQ(OverBudgetSchedules, 0U);
}

// Guards against a large fleet that uses more than half of the call budget
// while the service answers nobody, even if peers report answers just below the
// age limit in between. The other half is for the elected readers.
TEST_F(FallbackReadScheduleTest, LargeFleetWithoutServiceUsesHalfOfTheBudget) {
  constexpr std::uint32_t VmCount = 6'600;
  constexpr std::size_t Seconds = 60;
  const DeploymentBudget Budget{VmCount, 2'000};
  std::vector<FallbackReadSchedule> Fleet;
  for (std::uint32_t Vm = 0; Vm < VmCount; ++Vm) {
    Fleet.emplace_back(this->Random);
    Fleet.back().setBudget(Budget);
  }
  std::size_t TotalCalls = 0;
  std::size_t MaxCalls = 0;
  for (std::size_t Second = 0; Second < Seconds; ++Second) {
    std::size_t Calls = 0;
    for (int Tick = 0; Tick < 5; ++Tick) {
      for (FallbackReadSchedule &Vm : Fleet) {
        Calls += Vm.takeDueRead(this->now()) ? 1 : 0;
        if (this->Random.below(50) == 0)
          Vm.recordPeerAnswerAge(std::chrono::milliseconds(3'900), this->now());
      }
      this->Clock.advance(std::chrono::milliseconds(200));
    }
    TotalCalls += Calls;
    MaxCalls = std::max(MaxCalls, Calls);
  }
  EXPECT_LE(TotalCalls, Seconds * 1'000 + VmCount);
  EXPECT_LE(MaxCalls, 1'200U);
  EXPECT_GT(TotalCalls, VmCount);
}

// Guards against unnecessary calls to the service while a peer can read it.
TEST_F(FallbackReadScheduleTest, FreshAnswerOfPeerStopsReads) {
  for (int Second = 0; Second < 20; ++Second) {
    this->Schedule.recordPeerAnswerAge(std::chrono::milliseconds(2'500),
                                       this->now());
    EXPECT_FALSE(this->Schedule.takeDueRead(this->now()));
    this->Clock.advance(std::chrono::seconds(1));
  }
}

// Guards against treating an old answer as a recent one after a pause.
TEST_F(FallbackReadScheduleTest, AnswerFromBeforeThePauseIsDropped) {
  this->Schedule.recordAnswer(this->now());
  const auto AnsweredAt = this->now();
  this->Clock.advance(std::chrono::seconds(1));
  this->Schedule.discardAnswers(this->now());
  this->Schedule.recordAnswer(AnsweredAt);
  EXPECT_EQ(this->Schedule.answerAge(this->now()),
            FallbackReadSchedule::MaxAnswerAge);
}

// Guards against an age without bound, and against treating a peer's maximum
// age as an answer.
TEST_F(FallbackReadScheduleTest, AgeSaturatesAndSuchAgeOfPeerIsIgnored) {
  this->Schedule.recordAnswer(this->now());
  this->Clock.advance(std::chrono::hours(1));
  EXPECT_EQ(this->Schedule.answerAge(this->now()),
            FallbackReadSchedule::MaxAnswerAge);
  this->Schedule.recordPeerAnswerAge(FallbackReadSchedule::MaxAnswerAge,
                                     this->now());
  EXPECT_EQ(this->Schedule.answerAge(this->now()),
            FallbackReadSchedule::MaxAnswerAge);
}

// Guards against reads of a large fleet that together exceed the call budget.
TEST_F(FallbackReadScheduleTest, PeriodFollowsTheBudget) {
  EXPECT_EQ(FallbackReadSchedule::period({12, 200}), std::chrono::seconds(4));
  EXPECT_EQ(FallbackReadSchedule::period({6'600, 2'000}),
            std::chrono::milliseconds(6'600));
}

} // namespace acaciacross::configuration
