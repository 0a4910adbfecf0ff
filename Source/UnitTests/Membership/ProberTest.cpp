#include "UnitTests/Membership/ObserverHarness.h"

#include <gtest/gtest.h>

namespace acaciacross::membership {

using std::chrono::milliseconds;

class ProberTest : public testing::Test {
protected:
  void addRemotes(int Count) {
    for (int Number = 0; Number < Count; ++Number) {
      MemberStatus Status;
      Status.Vm = common::VmId("peer-" + std::to_string(Number));
      Status.State = ServingState::Serving;
      this->Observer.setRemote({"10.0.1." + std::to_string(Number % 250),
                                static_cast<std::uint16_t>(1 + Number / 250)},
                               Status);
    }
  }

  ObserverHarness Observer;
};

TEST_F(ProberTest, SmallFleetIsProbedWholeEveryRound) {
  this->addRemotes(8);
  this->Observer.runFor(milliseconds(2000));
  EXPECT_EQ(this->Observer.ProbesSent, 80U);
}

// Every peer of a fleet of 16 keeps fresh evidence although a round does not
// reach all of them.
TEST_F(ProberTest, FleetLargerThanARoundIsProbedInTurns) {
  this->addRemotes(16);
  this->Observer.runFor(milliseconds(2000));
  EXPECT_EQ(this->Observer.ProbesSent, 10 * SmallFleetRound);
  EXPECT_EQ(this->Observer.Fleet.servingPeers(this->Observer.Now).size(), 16U);
}

// The control budget per node does not grow with the fleet.
TEST_F(ProberTest, LargeFleetIsProbedInBoundedRoundsWithoutFalseLoss) {
  this->addRemotes(600);
  this->Observer.LegDelay = [this]() -> ObserverHarness::Delay {
    if (this->Observer.Random.below(100) < 2)
      return std::nullopt;
    return milliseconds(4);
  };
  this->Observer.runFor(std::chrono::seconds(160));
  EXPECT_LE(this->Observer.ProbesSent, 800U * LargeFleetRound);
  EXPECT_GT(this->Observer.Fleet.records().size(), 550U);
  EXPECT_EQ(this->Observer.count(FleetEventKind::Lost), 0U);
}

// After a loss of power a fleet of 81 took ten seconds to know itself, because
// one new address was probed in each round.
TEST_F(ProberTest, AddressesOfALargeFleetAreAllTriedWithinThirtyRounds) {
  this->addRemotes(80);
  this->Observer.runFor(milliseconds(30 * 200));
  EXPECT_EQ(this->Observer.Fleet.records().size(), 80U);
}

// Address answers name a placed VM only while its evidence is fresh.
TEST_F(ProberTest, PreferredPeersOfALargeFleetKeepFreshEvidence) {
  this->addRemotes(80);
  this->Observer.runFor(std::chrono::seconds(8));
  std::vector<common::Address> Preferred;
  std::set<std::string> Names;
  for (const auto &[At, Status] : this->Observer.Remotes) {
    if (Preferred.size() == 8)
      break;
    Preferred.push_back(At);
    Names.insert(Status.Vm.Value);
  }
  this->Observer.Probes.setPreferred(Preferred);
  this->Observer.runFor(std::chrono::seconds(2));
  for (int Round = 0; Round < 20; ++Round) {
    this->Observer.runFor(milliseconds(200));
    for (const std::string &Name : Names)
      EXPECT_TRUE(this->Observer.isNamed(Name.c_str())) << Name;
  }
}

// Each of these acknowledgements may be of any age.
TEST_F(ProberTest, AckOfUnknownRepeatedForeignOrExpiredProbeIsNoEvidence) {
  const common::Address Peer{"10.0.0.2", 1};
  const common::Address Other{"10.0.0.3", 1};
  this->Observer.Hints.addSeed(Peer);
  common::SeededRandom Random(1);
  const std::uint64_t First = Random.next() >> 1;
  common::SeededRandom Same(1);
  Prober Fixed(this->Observer, Same);
  Fixed.tick(this->Observer.Now, this->Observer.Fleet, this->Observer.Hints,
             Heartbeat{});
  EXPECT_FALSE(Fixed.matchAck(First + 1, Peer, this->Observer.Now));
  EXPECT_FALSE(Fixed.matchAck(First, Other, this->Observer.Now));
  EXPECT_TRUE(Fixed.matchAck(First, Peer, this->Observer.Now));
  EXPECT_FALSE(Fixed.matchAck(First, Peer, this->Observer.Now));
  Fixed.tick(this->Observer.Now, this->Observer.Fleet, this->Observer.Hints,
             Heartbeat{});
  EXPECT_FALSE(Fixed.matchAck(First + 1, Peer, this->Observer.Now + LossLimit));
}

} // namespace acaciacross::membership
