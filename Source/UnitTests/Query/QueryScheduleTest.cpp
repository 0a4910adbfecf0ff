#include "UnitTests/Query/AnswerOracle.h"

#include <gtest/gtest.h>

#include <array>

namespace acaciacross::query {

namespace {

constexpr std::uint64_t ScheduleCount = 10'000;

} // namespace

class QueryScheduleTest : public testing::Test {
protected:
  /// Number of outcomes by index in the variant, over all schedules of a test.
  std::array<std::size_t, 4> OutcomeCounts{};

  void countOutcomes(const QuerySchedule &Schedule) {
    for (const FinishedQuery &Query : Schedule.finished())
      ++this->OutcomeCounts[Query.Result.index()];
  }

  /// Guards against schedules that hardly ever reach some outcome and so do not
  /// test it.
  void expectEveryOutcomeAtLeast(std::size_t Minimum) const {
    for (const std::size_t Count : this->OutcomeCounts)
      EXPECT_GE(Count, Minimum);
  }
};

// Properties P1 to P4: no answer mixes snapshots, states a wrong coverage or
// contains replies to another request, and no request is refused once work of
// it has run.
TEST_F(QueryScheduleTest, RandomFaultsLeaveEveryAnswerCorrect) {
  for (std::uint64_t Seed = 1; Seed <= ScheduleCount; ++Seed) {
    QuerySchedule Schedule(Seed, true);
    Schedule.run();
    const AnswerOracle Oracle(Schedule);
    ASSERT_TRUE(Schedule.hasEnded()) << "seed " << Seed;
    ASSERT_EQ(Oracle.checkAnswers(), "") << "seed " << Seed;
    ASSERT_EQ(Oracle.checkRefusals(), "") << "seed " << Seed;
    ASSERT_EQ(Oracle.checkAtMostOnce(), "") << "seed " << Seed;
    ASSERT_EQ(Oracle.checkExtraLoad(), "") << "seed " << Seed;
    this->countOutcomes(Schedule);
  }
  this->expectEveryOutcomeAtLeast(ScheduleCount / 20);
}

// Property P5: a request that may not be repeated never runs twice on a shard;
// a second run could book or bill the same thing twice.
TEST_F(QueryScheduleTest, RequestThatMayNotBeRepeatedRunsOnceUnderFaults) {
  for (std::uint64_t Seed = 1; Seed <= ScheduleCount; ++Seed) {
    QuerySchedule Schedule(ScheduleCount + Seed, false);
    Schedule.run();
    const AnswerOracle Oracle(Schedule);
    ASSERT_EQ(Oracle.checkAtMostOnce(), "") << "seed " << ScheduleCount + Seed;
    ASSERT_EQ(Oracle.checkRefusals(), "") << "seed " << ScheduleCount + Seed;
    this->countOutcomes(Schedule);
  }
  this->expectEveryOutcomeAtLeast(ScheduleCount / 20);
}

} // namespace acaciacross::query
