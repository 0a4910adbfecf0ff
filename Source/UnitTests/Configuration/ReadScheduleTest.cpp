#include "Configuration/ReadSchedule.h"
#include "UnitTests/Configuration/ReadingFleet.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace acaciacross::configuration {

class ReadScheduleTest : public testing::Test {
protected:
  static constexpr std::uint64_t Schedules = 10'000;

  common::MonotonicTime now() const { return this->Clock.monotonicNow(); }

  testsupport::ManualClock Clock;
  common::SeededRandom Random{20261204};
  ReadSchedule Reads{this->Random};
};

// P8: readers that are cut off from the service must not keep a change from the
// fleet while some other VM can read it.
TEST_F(ReadScheduleTest, ChangeIsInEffectEverywhereWithinElevenSeconds) {
  std::size_t Late = 0;
  std::size_t OverBudget = 0;
  std::uint64_t FirstLate = 0;
  for (std::uint64_t Seed = 1; Seed <= Schedules; ++Seed) {
    ReadingFleet Fleet(Seed);
    Fleet.run();
    if (Fleet.countBehind() > 0 && ++Late == 1)
      FirstLate = Seed;
    if (Fleet.mostCalls() > Fleet.budget().MaxConfigurationCallsPerSecond)
      ++OverBudget;
  }
  EXPECT_EQ(Late, 0U) << "first seed: " << FirstLate;
  EXPECT_EQ(OverBudget, 0U);
}

// Without an answer from anyone, a large fleet must leave half of the budget to
// the elected readers, also when ages just below the limit come in between.
TEST_F(ReadScheduleTest, LargeFleetWithoutServiceKeepsHalfOfTheBudget) {
  constexpr std::uint32_t Count = 6'600;
  constexpr std::size_t Seconds = 60;
  const DeploymentBudget Budget{Count, 2'000};
  std::vector<ReadSchedule> Fleet;
  for (std::uint32_t Vm = 0; Vm < Count; ++Vm) {
    Fleet.emplace_back(this->Random);
    Fleet.back().setBudget(Budget);
  }
  std::size_t Total = 0;
  std::size_t Most = 0;
  for (std::size_t Second = 0; Second < Seconds; ++Second) {
    std::size_t Calls = 0;
    for (int Tick = 0; Tick < 5; ++Tick) {
      for (ReadSchedule &Vm : Fleet) {
        Calls += Vm.takeDueRead(this->now()) ? 1 : 0;
        if (this->Random.below(50) == 0)
          Vm.notePeer(std::chrono::milliseconds(3'900), this->now());
      }
      this->Clock.advance(std::chrono::milliseconds(200));
    }
    Total += Calls;
    Most = std::max(Most, Calls);
  }
  EXPECT_LE(Total, Seconds * 1'000 + Count);
  EXPECT_LE(Most, 1'200U);
  EXPECT_GT(Total, Count);
}

TEST_F(ReadScheduleTest, FreshAnswerOfPeerStopsReads) {
  for (int Second = 0; Second < 20; ++Second) {
    this->Reads.notePeer(std::chrono::milliseconds(2'500), this->now());
    EXPECT_FALSE(this->Reads.takeDueRead(this->now()));
    this->Clock.advance(std::chrono::seconds(1));
  }
}

// After a pause an old answer must not pass for a fresh one.
TEST_F(ReadScheduleTest, AnswerFromBeforeThePauseIsDropped) {
  this->Reads.noteAnswer(this->now());
  const auto AnsweredAt = this->now();
  this->Clock.advance(std::chrono::seconds(1));
  this->Reads.discardAnswers(this->now());
  this->Reads.noteAnswer(AnsweredAt);
  EXPECT_EQ(this->Reads.answerAge(this->now()), ReadSchedule::MaxAge);
}

TEST_F(ReadScheduleTest, AgeSaturatesAndIsNotPassedOnThen) {
  this->Reads.noteAnswer(this->now());
  this->Clock.advance(std::chrono::hours(1));
  EXPECT_EQ(this->Reads.answerAge(this->now()), ReadSchedule::MaxAge);
  this->Reads.notePeer(ReadSchedule::MaxAge, this->now());
  EXPECT_EQ(this->Reads.answerAge(this->now()), ReadSchedule::MaxAge);
}

TEST_F(ReadScheduleTest, PeriodFollowsTheBudget) {
  EXPECT_EQ(ReadSchedule::period({12, 200}), std::chrono::seconds(4));
  EXPECT_EQ(ReadSchedule::period({6'600, 2'000}),
            std::chrono::milliseconds(6'600));
}

} // namespace acaciacross::configuration
