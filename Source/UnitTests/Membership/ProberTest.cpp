#include "UnitTests/Membership/ObserverHarness.h"

#include <gtest/gtest.h>

namespace acaciacross::membership {

using std::chrono::milliseconds;

class ProberTest : public testing::Test {
protected:
  void addRemotes(int Count) {
    for (int I = 0; I < Count; ++I) {
      MemberStatus Status;
      Status.Vm = common::VmId("peer-" + std::to_string(I));
      Status.State = ServingState::Serving;
      this->Observer.setRemote({"10.0.1." + std::to_string(I % 250),
                                static_cast<std::uint16_t>(1 + I / 250)},
                               Status);
    }
  }

  ObserverHarness Observer;
};

// A peer that is left out of rounds would lose its fresh evidence.
TEST_F(ProberTest, SmallFleetIsProbedCompletelyInEveryRound) {
  this->addRemotes(8);
  this->Observer.runFor(milliseconds(2000));
  EXPECT_EQ(this->Observer.ProbesSent, 80U);
}

// Every peer of a fleet of 16 must keep fresh evidence although a round does
// not include all of them.
TEST_F(ProberTest, FleetLargerThanARoundIsProbedRoundRobin) {
  this->addRemotes(16);
  this->Observer.runFor(milliseconds(2000));
  EXPECT_EQ(this->Observer.ProbesSent, 10 * SmallFleetProbesPerRound);
  EXPECT_EQ(this->Observer.Fleet.servingPeers(this->Observer.Now).size(), 16U);
}

// The control traffic of a VM must not grow with the fleet.
TEST_F(ProberTest, LargeFleetIsProbedInBoundedRoundsWithoutFalseLoss) {
  this->addRemotes(600);
  this->Observer.OneWayDelay = [this]() -> ObserverHarness::Delay {
    if (this->Observer.Random.below(100) < 2)
      return std::nullopt;
    return milliseconds(4);
  };
  this->Observer.runFor(std::chrono::seconds(160));
  EXPECT_LE(this->Observer.ProbesSent, 800U * LargeFleetProbesPerRound);
  EXPECT_GT(this->Observer.Fleet.records().size(), 550U);
  EXPECT_EQ(this->Observer.count(FleetEventKind::Lost), 0U);
}

// If only one new address is probed per round, a fleet of 81 takes ten seconds
// after a power loss to learn all its members.
TEST_F(ProberTest, AddressesOfALargeFleetAreAllTriedWithinThirtyRounds) {
  this->addRemotes(80);
  this->Observer.runFor(milliseconds(30 * 200));
  EXPECT_EQ(this->Observer.Fleet.records().size(), 80U);
}

// Addresses that are known while the fleet still looks small count as untried
// until they have been probed. Otherwise a starting VM of a fleet of 20 knew
// one of its peers only after ten seconds.
TEST_F(ProberTest, AddressesOfAFleetThatGrowsAreAllTriedSoon) {
  this->addRemotes(15);
  this->Observer.runFor(milliseconds(200));
  this->addRemotes(40);
  this->Observer.runFor(milliseconds(14 * 200));
  EXPECT_EQ(this->Observer.Fleet.records().size(), 40U);
}

// Address answers list a placed VM only while its evidence is fresh.
TEST_F(ProberTest, PreferredPeersOfALargeFleetKeepFreshEvidence) {
  this->addRemotes(80);
  this->Observer.runFor(std::chrono::seconds(8));
  std::vector<common::Address> Preferred;
  std::set<std::string> Names;
  for (const auto &[Address, Status] : this->Observer.Remotes) {
    if (Preferred.size() == 8)
      break;
    Preferred.push_back(Address);
    Names.insert(Status.Vm.Value);
  }
  this->Observer.Probes.setPlan({Preferred, 3, 1});
  this->Observer.runFor(std::chrono::seconds(2));
  for (int Round = 0; Round < 20; ++Round) {
    this->Observer.runFor(milliseconds(200));
    for (const std::string &Name : Names)
      EXPECT_TRUE(this->Observer.isListed(Name.c_str())) << Name;
  }
}

// Each of these acknowledgements may be of any age, so it must not count as
// evidence.
TEST_F(ProberTest, AckOfUnknownRepeatedForeignOrExpiredProbeIsNoEvidence) {
  const common::Address Peer{"10.0.0.2", 1};
  const common::Address Other{"10.0.0.3", 1};
  this->Observer.Hints.addSeed(Peer);
  common::SeededRandom Random(1);
  const std::uint64_t First = Random.next() >> 1;
  common::SeededRandom SameRandom(1);
  Prober SeededProber(this->Observer, SameRandom);
  SeededProber.tick(this->Observer.Now, this->Observer.Fleet,
                    this->Observer.Hints, Heartbeat{});
  EXPECT_FALSE(SeededProber.matchAck(First + 1, Peer, this->Observer.Now));
  EXPECT_FALSE(SeededProber.matchAck(First, Other, this->Observer.Now));
  EXPECT_TRUE(SeededProber.matchAck(First, Peer, this->Observer.Now));
  EXPECT_FALSE(SeededProber.matchAck(First, Peer, this->Observer.Now));
  SeededProber.tick(this->Observer.Now, this->Observer.Fleet,
                    this->Observer.Hints, Heartbeat{});
  EXPECT_FALSE(
      SeededProber.matchAck(First + 1, Peer, this->Observer.Now + LossTimeout));
}

} // namespace acaciacross::membership
