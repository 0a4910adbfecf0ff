#include "Membership/StopSequence.h"

#include "UnitTests/Membership/ObserverHarness.h"

#include <gtest/gtest.h>

namespace acaciacross::membership {

using std::chrono::milliseconds;

class StopSequenceTest : public testing::Test {
protected:
  static constexpr std::uint64_t Seeds = 10000;

  /// Result of one schedule of losses, delays and pauses.
  struct Result {
    bool WasListed = false;
    /// Time from the end of the last answer's validity until the port is
    /// closed.
    milliseconds Slack = milliseconds::max();
  };

  static ObserverHarness::Delay randomDelay(common::SeededRandom &Random,
                                            std::uint64_t LossPercent,
                                            std::uint64_t MaxLatencyMs) {
    if (Random.below(100) < LossPercent)
      return std::nullopt;
    const std::uint64_t MaxDelayMs = Random.below(4) == 0 ? MaxLatencyMs : 50;
    return milliseconds(Random.below(MaxDelayMs + 1));
  }

  static Result runStop(std::uint64_t Seed) {
    ObserverHarness Observer(Seed);
    common::SeededRandom Random(Seed + Seeds);
    const std::uint64_t LossPercent = Random.below(40);
    const std::uint64_t MaxDelayMs = Random.below(2000);
    Observer.OneWayDelay = [&Random, LossPercent, MaxDelayMs] {
      return randomDelay(Random, LossPercent, MaxDelayMs);
    };
    const common::Address Address{"10.0.0.2", 1};
    MemberStatus Status;
    Status.Vm = common::VmId("stopping");
    Status.State = ServingState::Serving;
    Observer.setRemote(Address, Status);
    Observer.runFor(milliseconds(500 + Random.below(400)));
    StopSequence Stop;
    Stop.begin(Observer.Now);
    Observer.Remotes.at(Address).State = ServingState::Leaving;
    Result Outcome;
    common::MonotonicTime ValidUntil = Observer.Now;
    while (Stop.advance(Observer.Now, false) == StopPhase::Lingering) {
      if (Random.below(200) == 0)
        Observer.pauseFor(milliseconds(Random.below(1500)));
      // Traffic threads answer from the last view even while the control thread
      // is paused.
      if (Observer.isListed("stopping")) {
        Outcome.WasListed = true;
        ValidUntil = Observer.Now + AddressValidity + LingerMargin;
      }
      Observer.runFor(milliseconds(7));
    }
    Outcome.Slack =
        std::chrono::duration_cast<milliseconds>(Observer.Now - ValidUntil);
    return Outcome;
  }
};

// A caller with a valid answer that lists the stopping VM would find the port
// closed, so a planned stop would interrupt its request (P7).
TEST_F(StopSequenceTest, NoAnswerIsValidAfterTheCloseInTenThousandSchedules) {
  std::uint64_t ListedCount = 0;
  milliseconds MinSlack = milliseconds::max();
  for (std::uint64_t Seed = 0; Seed < Seeds; ++Seed) {
    const Result Outcome = runStop(Seed);
    ListedCount += Outcome.WasListed ? 1 : 0;
    MinSlack = std::min(MinSlack, Outcome.Slack);
    ASSERT_GE(Outcome.Slack.count(), 0) << "seed " << Seed;
  }
  // The schedules come close to the bound, so the check is not vacuous.
  EXPECT_GT(ListedCount, Seeds / 2);
  EXPECT_LE(MinSlack.count(), 50);
  this->RecordProperty("least_slack_ms", static_cast<int>(MinSlack.count()));
}

// An exit before the accepted requests are complete would interrupt them.
TEST_F(StopSequenceTest, OpenCallersDelayTheEndOfTheStopAfterThePortIsClosed) {
  const common::MonotonicTime Start{std::chrono::hours(1)};
  StopSequence Stop;
  EXPECT_EQ(Stop.advance(Start, false), StopPhase::Running);
  Stop.begin(Start);
  EXPECT_EQ(Stop.advance(Start + milliseconds(4499), false),
            StopPhase::Lingering);
  EXPECT_EQ(Stop.advance(Start + milliseconds(4500), false),
            StopPhase::Draining);
  EXPECT_EQ(Stop.advance(Start + std::chrono::seconds(60), true),
            StopPhase::Draining);
  EXPECT_EQ(Stop.advance(Start + std::chrono::seconds(61), false),
            StopPhase::Done);
}

// A VM that is killed early must not accept callers until then.
TEST_F(StopSequenceTest, PortIsClosedAtTheLatestTimeGiven) {
  const common::MonotonicTime Start{std::chrono::hours(1)};
  StopSequence Stop;
  Stop.begin(Start, Start + milliseconds(2'000));
  EXPECT_EQ(Stop.advance(Start + milliseconds(1'999), true),
            StopPhase::Lingering);
  EXPECT_EQ(Stop.advance(Start + milliseconds(2'000), true),
            StopPhase::Draining);
}

} // namespace acaciacross::membership
