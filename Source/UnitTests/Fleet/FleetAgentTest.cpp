#include "Fleet/FleetAgent.h"

#include "Common/SeededRandom.h"
#include "Common/SystemClock.h"
#include "TestSupport/FindFreeAddress.h"

#include <gtest/gtest.h>

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Reactor.h>
#include <fcntl.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace acaciacross::fleet {

using std::chrono::milliseconds;

/// Runs agents over loopback on one reactor. The VMs "p..." are placed.
class FleetAgentTest : public testing::Test {
protected:
  class Vm final : public FleetViewListener,
                   public LocalStatusSource,
                   public routing::PlacementPolicy {
  public:
    Vm(FleetAgentTest &Test, const std::string &Id, const std::string &Domain,
       const std::vector<common::Address> &Seeds)
        : Address(testsupport::findFreeAddress()), Random(Test.Agents.size()) {
      FleetAgentSettings Settings;
      Settings.Vm = common::VmId(Id);
      Settings.Incarnation = common::Incarnation(Test.Agents.size() + 1);
      Settings.CallerAddress = this->Address;
      Settings.PeerAddress = this->Address;
      Settings.FailureDomain = Domain;
      Settings.SeedAddresses = Seeds;
      this->Agent = std::make_unique<FleetAgent>(Settings, Test.Events,
                                                 Test.Time, this->Random,
                                                 Test.Log, *this, *this, *this);
      this->Agent->setState(membership::ServingState::Serving);
    }

    void onFleetView(const FleetView &NewView) override {
      this->View = NewView;
      ++this->ViewCount;
    }
    void onPeerAcknowledged(const common::Address &,
                            const membership::MemberStatus &,
                            common::MonotonicTime) override {
      ++this->AckCount;
    }
    common::StorePosition knownPosition() const override { return 1; }
    milliseconds answerAge() const override { return milliseconds(0); }
    unsigned busyPerMille() const override { return 0; }

    std::set<common::VmId>
    choose(std::span<const routing::PlacementCandidate> Serving,
           common::MonotonicTime) override {
      std::set<common::VmId> Placed;
      for (const routing::PlacementCandidate &Candidate : Serving)
        if (Candidate.Vm.Value.starts_with("p"))
          Placed.insert(Candidate.Vm);
      return Placed;
    }

    /// Number of placed VMs, besides this one, with evidence of the last
    /// second.
    std::size_t freshPlaced(common::MonotonicTime Now) const {
      std::size_t Count = 0;
      for (const routing::AddressCandidate &Peer : this->View.EntryVms)
        Count += Peer.IsPlaced && Peer.CallerAddress != this->Address &&
                         Now - Peer.EvidenceAt <= milliseconds(1'000)
                     ? 1
                     : 0;
      return Count;
    }

    common::Address Address;
    common::SeededRandom Random;
    std::unique_ptr<FleetAgent> Agent;
    FleetView View;
    std::size_t ViewCount = 0;
    std::size_t AckCount = 0;
  };

  Vm &add(const std::string &Id, const std::string &Domain) {
    std::vector<common::Address> Seeds;
    if (!this->Agents.empty())
      Seeds.push_back(this->Agents.front()->Address);
    this->Agents.push_back(std::make_unique<Vm>(*this, Id, Domain, Seeds));
    return *this->Agents.back();
  }

  /// Two placed VMs and eight others in each of two failure domains.
  void addLargeFleet() {
    for (const std::string &Domain : {std::string("z0"), std::string("z1")}) {
      for (int I = 0; I < 2; ++I)
        this->add("p" + Domain + std::to_string(I), Domain);
      for (int I = 0; I < 8; ++I)
        this->add("s" + Domain + std::to_string(I), Domain);
    }
  }

  /// Runs the agents until the condition holds; false after ten seconds.
  bool runUntil(const std::function<bool()> &Condition) {
    const auto End = this->Time.monotonicNow() + milliseconds(10'000);
    while (!Condition()) {
      if (this->Time.monotonicNow() >= End)
        return false;
      ACE_Time_Value Wait(0, 5'000);
      this->Events.handle_events(Wait);
    }
    return true;
  }

  void runFor(milliseconds Duration) {
    const auto End = this->Time.monotonicNow() + Duration;
    this->runUntil([&] { return this->Time.monotonicNow() >= End; });
  }

  bool allSeeAllPlaced() {
    return std::ranges::all_of(this->Agents, [&](const auto &Each) {
      return Each->View.LiveVms.size() == this->Agents.size() &&
             Each->freshPlaced(this->Time.monotonicNow()) +
                     (Each->View.PlacedVms.contains(
                          Each->View.EntryVms.front().Vm)
                          ? 1
                          : 0) ==
                 4;
    });
  }

  common::SystemClock Time;
  ACE_Reactor Events{new ACE_Dev_Poll_Reactor(), true};
  logging::EventLog Log{this->Time, ::open("/dev/null", O_WRONLY)};
  std::vector<std::unique_ptr<Vm>> Agents;
};

TEST_F(FleetAgentTest, VmsThatShareASeedListEachOther) {
  this->add("a", "z0");
  this->add("b", "z1");
  this->add("c", "z1");
  EXPECT_TRUE(this->runUntil([&] {
    return std::ranges::all_of(this->Agents, [](const auto &Each) {
      return Each->View.EntryVms.size() == 3 && Each->View.IsComplete;
    });
  }));
}

// Callers would be sent to a VM that is about to close its port.
TEST_F(FleetAgentTest, VmThatLeavesIsListedNoLongerThanOneSecond) {
  Vm &First = this->add("a", "z0");
  Vm &Second = this->add("b", "z1");
  ASSERT_TRUE(this->runUntil([&] { return First.View.EntryVms.size() == 2; }));
  Second.Agent->setState(membership::ServingState::Leaving);
  this->runFor(milliseconds(1'000));
  EXPECT_EQ(First.View.EntryVms.size(), 1U);
}

TEST_F(FleetAgentTest, StandbyVmsListPlacedVmsOfOtherDomains) {
  this->addLargeFleet();
  EXPECT_TRUE(this->runUntil([&] { return this->allSeeAllPlaced(); }));
}

// A standby VM that probed each placed VM and a random peer in each round would
// get twenty acknowledgements a second.
TEST_F(FleetAgentTest, StandbyVmsProbeFewPeersOnceTheyKnowTheFleet) {
  this->addLargeFleet();
  ASSERT_TRUE(this->runUntil([&] { return this->allSeeAllPlaced(); }));
  this->runFor(milliseconds(2'500));
  for (const auto &Each : this->Agents)
    Each->AckCount = Each->ViewCount = 0;
  this->runFor(milliseconds(2'000));
  std::size_t StandbyAcks = 0;
  std::size_t Views = 0;
  for (const auto &Each : this->Agents) {
    Views += Each->ViewCount;
    if (!Each->View.PlacedVms.contains(Each->View.EntryVms.front().Vm))
      StandbyAcks += Each->AckCount;
  }
  // Six a second of each of 16 VMs, and a fifth more for placed VMs of which
  // no evidence has come.
  EXPECT_LE(StandbyAcks, 16U * 2U * 6U * 6U / 5U);
  EXPECT_LE(Views, this->Agents.size() * 11U) << "one view for each round";
}

} // namespace acaciacross::fleet
