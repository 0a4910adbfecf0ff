#include "UnitTests/Membership/ObserverHarness.h"

#include <gtest/gtest.h>

namespace acaciacross::membership {

using std::chrono::milliseconds;

class FleetScenarioTest : public testing::Test {
protected:
  FleetScenarioTest() { this->Observer.setRemote(this->At, status(7)); }

  static MemberStatus status(std::uint64_t Run,
                             ServingState State = ServingState::Serving) {
    MemberStatus Status;
    Status.Vm = common::VmId("peer");
    Status.Run = common::Incarnation(Run);
    Status.State = State;
    return Status;
  }

  common::Address At{"10.0.0.2", 1};
  ObserverHarness Observer;
};

// A VM must not vanish from address answers because of single lost datagrams.
TEST_F(FleetScenarioTest, PeerWithThreeOfTenMessagesLostStaysAlive) {
  this->Observer.LegDelay = [this]() -> ObserverHarness::Delay {
    if (this->Observer.Random.below(10) < 3)
      return std::nullopt;
    return milliseconds(4);
  };
  this->Observer.runFor(std::chrono::seconds(20));
  EXPECT_EQ(this->Observer.count(FleetEventKind::Joined), 1U);
  EXPECT_EQ(this->Observer.count(FleetEventKind::Lost), 0U);
}

// Evidence counts from the sending of the probe: an acknowledgement on the way
// for longer than the limit says nothing of the present.
TEST_F(FleetScenarioTest, PeerWithAcksDelayedOverTheLimitIsNeverNamed) {
  this->Observer.LegDelay = [] { return milliseconds(510); };
  for (int Step = 0; Step < 500; ++Step) {
    this->Observer.runFor(milliseconds(10));
    ASSERT_FALSE(this->Observer.isNamed("peer"));
  }
  EXPECT_EQ(this->Observer.count(FleetEventKind::Joined), 1U);
}

TEST_F(FleetScenarioTest, SilentPeerLeavesAnswersInOneSecondAndIsLostInFour) {
  this->Observer.runFor(milliseconds(1000));
  ASSERT_TRUE(this->Observer.isNamed("peer"));
  this->Observer.Remotes.clear();
  this->Observer.runFor(milliseconds(1001));
  EXPECT_FALSE(this->Observer.isNamed("peer"));
  EXPECT_EQ(this->Observer.count(FleetEventKind::Lost), 0U);
  this->Observer.runFor(milliseconds(2400));
  EXPECT_EQ(this->Observer.count(FleetEventKind::Lost), 1U);
}

// The numbers of two runs have no order; only the answers to later probes tell
// which is the later one.
TEST_F(FleetScenarioTest, RestartWithLowerIncarnationReplacesTheOldRun) {
  this->Observer.runFor(milliseconds(1000));
  this->Observer.setRemote(this->At, status(3, ServingState::Joining));
  this->Observer.runFor(milliseconds(500));
  EXPECT_EQ(this->Observer.count(FleetEventKind::Restarted), 1U);
  EXPECT_EQ(this->Observer.Fleet.find(common::VmId("peer"))->Status.Run.Value,
            3U);
  EXPECT_FALSE(this->Observer.isNamed("peer"));
}

// Two VMs set up with one id would otherwise look like a VM that restarted.
TEST_F(FleetScenarioTest, TwoLiveVmsWithOneIdAreToldOnce) {
  this->Observer.runFor(milliseconds(1000));
  this->Observer.setRemote({"10.0.0.3", 1}, status(3));
  this->Observer.runFor(milliseconds(10'000));
  EXPECT_EQ(this->Observer.count(FleetEventKind::DuplicateId), 1U);
  EXPECT_EQ(this->Observer.count(FleetEventKind::Restarted), 1U);
  EXPECT_TRUE(this->Observer.isNamed("peer"));
}

TEST_F(FleetScenarioTest, RestartIsNoDuplicate) {
  this->Observer.runFor(milliseconds(1000));
  this->Observer.setRemote(this->At, status(3));
  this->Observer.runFor(milliseconds(10'000));
  EXPECT_EQ(this->Observer.count(FleetEventKind::DuplicateId), 0U);
}

TEST_F(FleetScenarioTest, AckOfRetiredRunThatWasOvertakenChangesNothing) {
  this->Observer.runFor(milliseconds(1000));
  this->Observer.setRemote(this->At, status(3));
  this->Observer.runFor(milliseconds(500));
  const auto Events = this->Observer.Fleet.applyAck(
      status(7), this->At, this->Observer.Now + milliseconds(1));
  EXPECT_TRUE(Events.empty());
  EXPECT_EQ(this->Observer.Fleet.find(common::VmId("peer"))->Status.Run.Value,
            3U);
}

TEST_F(FleetScenarioTest, DelayedServingMessageOfLeavingRunDoesNotUndoLeaving) {
  this->Observer.runFor(milliseconds(1000));
  this->Observer.Fleet.applyUpdate({common::VmId("peer"),
                                    common::Incarnation(7),
                                    ServingState::Leaving, this->At});
  this->Observer.runFor(milliseconds(500));
  EXPECT_FALSE(this->Observer.isNamed("peer"));
}

// A process that was stopped finds acknowledgements of before the stop in its
// socket buffer; they must not make a dead peer look alive.
TEST_F(FleetScenarioTest, PausedObserverDropsAcksFromItsBuffer) {
  this->Observer.LegDelay = [] { return milliseconds(90); };
  this->Observer.runFor(milliseconds(1000));
  ASSERT_TRUE(this->Observer.isNamed("peer"));
  this->Observer.runFor(milliseconds(101));
  this->Observer.pauseFor(milliseconds(600));
  this->Observer.runFor(milliseconds(300));
  this->Observer.Remotes.clear();
  for (int Step = 0; Step < 300; ++Step) {
    this->Observer.runFor(milliseconds(1));
    if (this->Observer.Now >= this->Observer.PausedUntil) {
      ASSERT_FALSE(this->Observer.isNamed("peer"));
    }
  }
}

// The pause is this VM's own fault, so peers get the full time to answer.
TEST_F(FleetScenarioTest, PausedObserverDeclaresNoPeerLostOnWaking) {
  this->Observer.runFor(milliseconds(1000));
  this->Observer.pauseFor(std::chrono::seconds(10));
  this->Observer.runFor(std::chrono::seconds(12));
  EXPECT_EQ(this->Observer.count(FleetEventKind::Lost), 0U);
  EXPECT_TRUE(this->Observer.isNamed("peer"));
}

TEST_F(FleetScenarioTest, SplitOfMinutesHealsWithoutHints) {
  const auto Connected = this->Observer.LegDelay;
  this->Observer.runFor(milliseconds(1000));
  this->Observer.LegDelay = [] { return ObserverHarness::Delay(); };
  this->Observer.runFor(std::chrono::minutes(5));
  EXPECT_EQ(this->Observer.count(FleetEventKind::Lost), 1U);
  this->Observer.LegDelay = Connected;
  this->Observer.runFor(milliseconds(500));
  EXPECT_EQ(this->Observer.count(FleetEventKind::Joined), 2U);
  EXPECT_TRUE(this->Observer.isNamed("peer"));
}

// A replacement under a new id at the same address would else leave the old VM
// in the table for ever, because probes to the address are answered.
TEST_F(FleetScenarioTest, VmThatTakesOverAnAddressMakesTheFormerOneLost) {
  this->Observer.runFor(milliseconds(1000));
  MemberStatus Other = status(9);
  Other.Vm = common::VmId("replacement");
  this->Observer.setRemote(this->At, Other);
  this->Observer.runFor(milliseconds(500));
  EXPECT_EQ(this->Observer.count(FleetEventKind::Lost), 1U);
  EXPECT_FALSE(this->Observer.isNamed("peer"));
  EXPECT_TRUE(this->Observer.isNamed("replacement"));
}

TEST_F(FleetScenarioTest, HintedAddressWithoutAnswerIsNoMember) {
  this->Observer.Hints.mention({"10.0.0.9", 1}, this->Observer.Now);
  this->Observer.runFor(std::chrono::seconds(5));
  EXPECT_EQ(this->Observer.Fleet.records().size(), 1U);
}

} // namespace acaciacross::membership
