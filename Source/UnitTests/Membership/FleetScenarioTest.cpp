#include "UnitTests/Membership/ObserverHarness.h"

#include <gtest/gtest.h>

namespace acaciacross::membership {

using std::chrono::milliseconds;

class FleetScenarioTest : public testing::Test {
protected:
  FleetScenarioTest() {
    this->Observer.setRemote(this->PeerAddress, status(7));
  }

  static MemberStatus status(std::uint64_t Incarnation,
                             ServingState State = ServingState::Serving) {
    MemberStatus Status;
    Status.Vm = common::VmId("peer");
    Status.Incarnation = common::Incarnation(Incarnation);
    Status.State = State;
    return Status;
  }

  common::Address PeerAddress{"10.0.0.2", 1};
  ObserverHarness Observer;
};

// Single lost datagrams must not remove a VM from address answers.
TEST_F(FleetScenarioTest, PeerWithThreeOfTenMessagesLostStaysAlive) {
  this->Observer.OneWayDelay = [this]() -> ObserverHarness::Delay {
    if (this->Observer.Random.below(10) < 3)
      return std::nullopt;
    return milliseconds(4);
  };
  this->Observer.runFor(std::chrono::seconds(20));
  EXPECT_EQ(this->Observer.count(FleetEventKind::Joined), 1U);
  EXPECT_EQ(this->Observer.count(FleetEventKind::Lost), 0U);
}

// Evidence is dated by the sending of the probe: an acknowledgement that is
// delayed for longer than the limit does not show the current state.
TEST_F(FleetScenarioTest, PeerWithAcksDelayedOverTheLimitIsNeverListed) {
  this->Observer.OneWayDelay = [] { return milliseconds(510); };
  for (int Step = 0; Step < 500; ++Step) {
    this->Observer.runFor(milliseconds(10));
    ASSERT_FALSE(this->Observer.isListed("peer"));
  }
  EXPECT_EQ(this->Observer.count(FleetEventKind::Joined), 1U);
}

// Address answers must stop listing a dead peer soon, while a loss needs longer
// silence.
TEST_F(FleetScenarioTest, SilentPeerIsUnlistedAfterOneSecondAndLostWithinFour) {
  this->Observer.runFor(milliseconds(1000));
  ASSERT_TRUE(this->Observer.isListed("peer"));
  this->Observer.Remotes.clear();
  this->Observer.runFor(milliseconds(1001));
  EXPECT_FALSE(this->Observer.isListed("peer"));
  EXPECT_EQ(this->Observer.count(FleetEventKind::Lost), 0U);
  this->Observer.runFor(milliseconds(2400));
  EXPECT_EQ(this->Observer.count(FleetEventKind::Lost), 1U);
}

// The incarnations of two runs have no order; only the answers to later probes
// show which run is the later one.
TEST_F(FleetScenarioTest, RestartWithLowerIncarnationReplacesTheOldRun) {
  this->Observer.runFor(milliseconds(1000));
  this->Observer.setRemote(this->PeerAddress, status(3, ServingState::Joining));
  this->Observer.runFor(milliseconds(500));
  EXPECT_EQ(this->Observer.count(FleetEventKind::Restarted), 1U);
  EXPECT_EQ(
      this->Observer.Fleet.find(common::VmId("peer"))->Status.Incarnation.Value,
      3U);
  EXPECT_FALSE(this->Observer.isListed("peer"));
}

// Two VMs that are configured with the same id must not be taken for a VM that
// restarts.
TEST_F(FleetScenarioTest, TwoLiveVmsWithOneIdAreReportedOnce) {
  this->Observer.runFor(milliseconds(1000));
  this->Observer.setRemote({"10.0.0.3", 1}, status(3));
  this->Observer.runFor(milliseconds(10'000));
  EXPECT_EQ(this->Observer.count(FleetEventKind::DuplicateId), 1U);
  EXPECT_EQ(this->Observer.count(FleetEventKind::Restarted), 1U);
  EXPECT_TRUE(this->Observer.isListed("peer"));
}

// A restart must not raise a false event about a duplicate id.
TEST_F(FleetScenarioTest, RestartIsNotReportedAsADuplicate) {
  this->Observer.runFor(milliseconds(1000));
  this->Observer.setRemote(this->PeerAddress, status(3));
  this->Observer.runFor(milliseconds(10'000));
  EXPECT_EQ(this->Observer.count(FleetEventKind::DuplicateId), 0U);
}

// An acknowledgement that arrives late must not bring back the old run.
TEST_F(FleetScenarioTest, DelayedAckOfARetiredRunHasNoEffect) {
  this->Observer.runFor(milliseconds(1000));
  this->Observer.setRemote(this->PeerAddress, status(3));
  this->Observer.runFor(milliseconds(500));
  const auto Events = this->Observer.Fleet.applyAck(
      status(7), this->PeerAddress, this->Observer.Now + milliseconds(1));
  EXPECT_TRUE(Events.empty());
  EXPECT_EQ(
      this->Observer.Fleet.find(common::VmId("peer"))->Status.Incarnation.Value,
      3U);
}

// A delayed message must not put a leaving VM back into address answers.
TEST_F(FleetScenarioTest, DelayedServingMessageOfLeavingRunDoesNotUndoLeaving) {
  this->Observer.runFor(milliseconds(1000));
  this->Observer.Fleet.applyUpdate({common::VmId("peer"),
                                    common::Incarnation(7),
                                    ServingState::Leaving, this->PeerAddress});
  this->Observer.runFor(milliseconds(500));
  EXPECT_FALSE(this->Observer.isListed("peer"));
}

// A process that was stopped finds acknowledgements from before the stop in its
// socket buffer; they must not make a dead peer appear alive.
TEST_F(FleetScenarioTest, PausedObserverDropsAcksFromItsBuffer) {
  this->Observer.OneWayDelay = [] { return milliseconds(90); };
  this->Observer.runFor(milliseconds(1000));
  ASSERT_TRUE(this->Observer.isListed("peer"));
  this->Observer.runFor(milliseconds(101));
  this->Observer.pauseFor(milliseconds(600));
  this->Observer.runFor(milliseconds(300));
  this->Observer.Remotes.clear();
  for (int Step = 0; Step < 300; ++Step) {
    this->Observer.runFor(milliseconds(1));
    if (this->Observer.Now >= this->Observer.PausedUntil) {
      ASSERT_FALSE(this->Observer.isListed("peer"));
    }
  }
}

// A pause of this VM must not count as silence of its peers, so they get the
// full time to answer.
TEST_F(FleetScenarioTest, PausedObserverDeclaresNoPeerLostAfterThePause) {
  this->Observer.runFor(milliseconds(1000));
  this->Observer.pauseFor(std::chrono::seconds(10));
  this->Observer.runFor(std::chrono::seconds(12));
  EXPECT_EQ(this->Observer.count(FleetEventKind::Lost), 0U);
  EXPECT_TRUE(this->Observer.isListed("peer"));
}

// Lost peers must still be probed, or two parts of a fleet would stay separate
// after a partition.
TEST_F(FleetScenarioTest, FleetRecoversFromAPartitionOfMinutesWithoutHints) {
  const auto Connected = this->Observer.OneWayDelay;
  this->Observer.runFor(milliseconds(1000));
  this->Observer.OneWayDelay = [] { return ObserverHarness::Delay(); };
  this->Observer.runFor(std::chrono::minutes(5));
  EXPECT_EQ(this->Observer.count(FleetEventKind::Lost), 1U);
  this->Observer.OneWayDelay = Connected;
  this->Observer.runFor(milliseconds(500));
  EXPECT_EQ(this->Observer.count(FleetEventKind::Joined), 2U);
  EXPECT_TRUE(this->Observer.isListed("peer"));
}

// If a VM is replaced at the same address under a new id, the old VM would stay
// in the table forever, because probes to the address are answered.
TEST_F(FleetScenarioTest, VmThatTakesOverAnAddressMarksThePreviousOneLost) {
  this->Observer.runFor(milliseconds(1000));
  MemberStatus Replacement = status(9);
  Replacement.Vm = common::VmId("replacement");
  this->Observer.setRemote(this->PeerAddress, Replacement);
  this->Observer.runFor(milliseconds(500));
  EXPECT_EQ(this->Observer.count(FleetEventKind::Lost), 1U);
  EXPECT_FALSE(this->Observer.isListed("peer"));
  EXPECT_TRUE(this->Observer.isListed("replacement"));
}

// A hint must not count as evidence.
TEST_F(FleetScenarioTest, HintedAddressThatDoesNotAnswerIsNotAMember) {
  this->Observer.Hints.add({"10.0.0.9", 1}, this->Observer.Now);
  this->Observer.runFor(std::chrono::seconds(5));
  EXPECT_EQ(this->Observer.Fleet.records().size(), 1U);
}

} // namespace acaciacross::membership
