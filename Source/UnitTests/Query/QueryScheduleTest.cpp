#include "UnitTests/Query/AnswerOracle.h"

#include <gtest/gtest.h>

#include <array>

namespace acaciacross::query {

namespace {

constexpr std::uint64_t ScheduleCount = 10'000;

} // namespace

class QueryScheduleTest : public testing::Test {
protected:
  /// Outcomes by index in the variant, over all schedules of a test.
  std::array<std::size_t, 4> OutcomeCounts{};

  void countOutcomes(const QuerySchedule &Schedule) {
    for (const FinishedQuery &Query : Schedule.finished())
      ++this->OutcomeCounts[Query.Result.index()];
  }

  /// A schedule generator that hardly reaches an outcome proves little of it.
  void expectEveryOutcomeAtLeast(std::size_t Least) const {
    for (const std::size_t Count : this->OutcomeCounts)
      EXPECT_GE(Count, Least);
  }
};

// P1 to P4: mixed snapshots, wrong coverage, another request's replies, and
// refusals of work that has run.
TEST_F(QueryScheduleTest, RandomFaultsLeaveEveryAnswerTrue) {
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

// P5: a lot booked to two villages, or a cleaning billed twice.
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
