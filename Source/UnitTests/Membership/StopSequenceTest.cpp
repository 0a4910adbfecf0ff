#include "Membership/StopSequence.h"

#include "UnitTests/Membership/ObserverHarness.h"

#include <gtest/gtest.h>

namespace acaciacross::membership {

using std::chrono::milliseconds;

class StopSequenceTest : public testing::Test {
protected:
  static constexpr std::uint64_t Seeds = 10000;

  /// What one schedule of losses, delays and pauses showed.
  struct Result {
    bool WasNamed = false;
    /// From the end of the last answer's validity to the closing of the port.
    milliseconds Slack = milliseconds::max();
  };

  static ObserverHarness::Delay randomDelay(common::SeededRandom &Random,
                                            std::uint64_t LossPercent,
                                            std::uint64_t LongestMs) {
    if (Random.below(100) < LossPercent)
      return std::nullopt;
    const std::uint64_t Longest = Random.below(4) == 0 ? LongestMs : 50;
    return milliseconds(Random.below(Longest + 1));
  }

  static Result runStop(std::uint64_t Seed) {
    ObserverHarness Observer(Seed);
    common::SeededRandom Random(Seed + Seeds);
    const std::uint64_t Loss = Random.below(40);
    const std::uint64_t Longest = Random.below(2000);
    Observer.LegDelay = [&Random, Loss, Longest] {
      return randomDelay(Random, Loss, Longest);
    };
    const common::Address At{"10.0.0.2", 1};
    MemberStatus Status;
    Status.Vm = common::VmId("stopping");
    Status.State = ServingState::Serving;
    Observer.setRemote(At, Status);
    Observer.runFor(milliseconds(500 + Random.below(400)));
    StopSequence Stop;
    Stop.begin(Observer.Now);
    Observer.Remotes.at(At).State = ServingState::Leaving;
    Result Seen;
    common::MonotonicTime ValidUntil = Observer.Now;
    while (Stop.advance(Observer.Now, 0) == StopPhase::Lingering) {
      if (Random.below(200) == 0)
        Observer.pauseFor(milliseconds(Random.below(1500)));
      // Traffic threads answer from the last view even while the control
      // thread stands still.
      if (Observer.isNamed("stopping")) {
        Seen.WasNamed = true;
        ValidUntil = Observer.Now + AddressValidity + LingerMargin;
      }
      Observer.runFor(milliseconds(7));
    }
    Seen.Slack =
        std::chrono::duration_cast<milliseconds>(Observer.Now - ValidUntil);
    return Seen;
  }
};

// A caller that still holds a valid answer naming the stopping VM would find
// its port closed, which interrupts a request of a planned stop (P7).
TEST_F(StopSequenceTest, NoAnswerIsValidAfterTheCloseInTenThousandSchedules) {
  std::uint64_t Named = 0;
  milliseconds Least = milliseconds::max();
  for (std::uint64_t Seed = 0; Seed < Seeds; ++Seed) {
    const Result Seen = runStop(Seed);
    Named += Seen.WasNamed ? 1 : 0;
    Least = std::min(Least, Seen.Slack);
    ASSERT_GE(Seen.Slack.count(), 0) << "seed " << Seed;
  }
  // The schedules come close to the bound, so the check is not vacuous.
  EXPECT_GT(Named, Seeds / 2);
  EXPECT_LE(Least.count(), 50);
  this->RecordProperty("least_slack_ms", static_cast<int>(Least.count()));
}

TEST_F(StopSequenceTest, RunningRequestsHoldTheStopAfterThePortIsClosed) {
  const common::MonotonicTime Start{std::chrono::hours(1)};
  StopSequence Subject;
  EXPECT_EQ(Subject.advance(Start, 0), StopPhase::Running);
  Subject.begin(Start);
  EXPECT_EQ(Subject.advance(Start + milliseconds(4499), 0),
            StopPhase::Lingering);
  EXPECT_EQ(Subject.advance(Start + milliseconds(4500), 0),
            StopPhase::Draining);
  EXPECT_EQ(Subject.advance(Start + std::chrono::seconds(60), 1),
            StopPhase::Draining);
  EXPECT_EQ(Subject.advance(Start + std::chrono::seconds(61), 0),
            StopPhase::Done);
}

} // namespace acaciacross::membership
