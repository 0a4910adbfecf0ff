#include "TestSupport/FindFreeAddress.h"
#include "UnitTests/Configuration/SampleDocuments.h"
#include "UnitTests/Peering/FleetNode.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace acaciacross::peering {

/// Three entry VMs on loopback; the second and the third have only the address
/// of the first as a seed.
class FleetMemberTest : public testing::Test {
protected:
  std::unique_ptr<FleetNode> makeNode(int Number, std::uint64_t Seed) const {
    std::vector<common::Address> Seeds;
    if (Number != 0)
      Seeds.push_back(this->Addresses[0]);
    return std::make_unique<FleetNode>("entry-" + std::to_string(Number),
                                       this->Addresses[Number], Seeds, Seed);
  }

  static void publish(FleetNode &Node, std::uint64_t Revision) {
    Node.ask<bool>([Revision](control::ControlState &State) {
      State.applyConfiguration(
          {"classes", common::Revision(Revision), configuration::SampleClasses},
          "service");
      State.applyConfiguration({"service/crew-dispatch",
                                common::Revision(Revision + 1),
                                configuration::SampleService},
                               "service");
      return true;
    });
  }

  static bool hasRevision(FleetNode &Node, std::uint64_t Revision) {
    return Node.waitFor([Revision](control::ControlState &State) {
      return State.configuration().highestRevision().Value == Revision;
    });
  }

  std::vector<common::Address> Addresses = {testsupport::findFreeAddress(),
                                            testsupport::findFreeAddress(),
                                            testsupport::findFreeAddress()};
  std::unique_ptr<FleetNode> First = makeNode(0, 1);
  std::unique_ptr<FleetNode> Second = makeNode(1, 2);
  std::unique_ptr<FleetNode> Third = makeNode(2, 3);
};

// Property P8: a change that reaches one VM takes effect on all VMs, including
// those that cannot read the configuration service.
TEST_F(FleetMemberTest, ConfigurationOfOneVmTakesEffectOnAll) {
  publish(*this->First, 5);
  EXPECT_TRUE(hasRevision(*this->Second, 6));
  EXPECT_TRUE(hasRevision(*this->Third, 6));
  publish(*this->Third, 8);
  EXPECT_TRUE(hasRevision(*this->First, 9));
  EXPECT_TRUE(hasRevision(*this->Second, 9));
}

// A replacement VM must be able to serve while the configuration service is
// down.
TEST_F(FleetMemberTest, VmStartedWithoutServiceServesConfigurationOfPeers) {
  publish(*this->First, 5);
  ASSERT_TRUE(this->First->waitForEntryVms(3));
  this->Third.reset();
  this->Third = makeNode(2, 4);
  EXPECT_TRUE(this->Third->waitFor([](control::ControlState &State) {
    return State.servingState() == membership::ServingState::Serving;
  }));
  EXPECT_TRUE(this->First->waitForAudit("entry-2", "restarted"));
}

// A missing key with a low revision does not change the highest revision, only
// the digest; it must be pulled all the same.
TEST_F(FleetMemberTest, MissingKeyBelowTheHighestRevisionIsPulled) {
  publish(*this->First, 5);
  ASSERT_TRUE(hasRevision(*this->Second, 6));
  this->Second->ask<bool>([](control::ControlState &State) {
    State.applyConfiguration({"service/weaving-batch", common::Revision(2),
                              configuration::SampleService},
                             "service");
    return true;
  });
  EXPECT_TRUE(this->First->waitFor([](control::ControlState &State) {
    return State.configuration().services().size() == 2;
  }));
}

// A VM that has no request at a draining searcher learns of the drain only from
// its peers.
TEST_F(FleetMemberTest, DrainNoticeReachesVmsWithoutOwnEvidence) {
  publish(*this->First, 5);
  ASSERT_TRUE(hasRevision(*this->Third, 6));
  this->First->ask<bool>([](control::ControlState &State) {
    State.applyDrainNotice(common::SearcherId("crew-1"),
                           std::chrono::milliseconds(0));
    return true;
  });
  EXPECT_TRUE(this->Third->waitFor([](control::ControlState &State) {
    const auto Notices = State.drainNotices(16);
    return Notices.size() == 1 && Notices[0].Searcher.Value == "crew-1";
  }));
}

// Callers must not be sent to VMs that leave or are lost, and operators must
// see both in the audit trail.
TEST_F(FleetMemberTest, LeavingAndLostVmsAreRemovedFromTheViewAndAudited) {
  publish(*this->First, 5);
  ASSERT_TRUE(this->Second->waitForEntryVms(3));
  EXPECT_TRUE(this->Second->waitForAudit("entry-2", "joined"));
  this->Third->ask<bool>([](control::ControlState &State) {
    State.startLeaving();
    return true;
  });
  EXPECT_TRUE(this->Second->waitForAudit("entry-2", "leaving"));
  EXPECT_TRUE(this->Second->waitForEntryVms(2));
  this->Third.reset();
  EXPECT_TRUE(this->Second->waitForAudit("entry-2", "lost"));
}

// After a pause, knowledge from before it may be wrong and must not be given to
// callers.
TEST_F(FleetMemberTest, PausedControlThreadListsNoPeersUntilTheyAnswerAgain) {
  publish(*this->First, 5);
  ASSERT_TRUE(this->First->waitForEntryVms(3));
  this->Second.reset();
  this->Third.reset();
  this->First->ask<bool>([](control::ControlState &) {
    std::this_thread::sleep_for(std::chrono::milliseconds(700));
    return true;
  });
  EXPECT_TRUE(this->First->waitFor([](control::ControlState &State) {
    const auto Entries = State.audit().after(0);
    return std::ranges::any_of(Entries, [](const auto &Entry) {
      return Entry.Text.starts_with("paused for ");
    });
  }));
  EXPECT_TRUE(this->First->ask<bool>([](control::ControlState &State) {
    return State.buildView()->EntryVms.size() == 1;
  }));
}

// Both readers of a failure domain may be disconnected from the configuration
// service; then other VMs have to read it.
TEST_F(FleetMemberTest, NonReaderReadsWhenNoVmHasAnAnswer) {
  publish(*this->First, 5);
  ASSERT_TRUE(this->First->waitForEntryVms(3));
  EXPECT_TRUE(this->First->waitFor([this](control::ControlState &) {
    return this->First->Reads + this->Second->Reads + this->Third->Reads > 0;
  }));
}

// Both VMs must report the duplicate id, as an operator may look at either one,
// and both must continue to run.
TEST_F(FleetMemberTest, VmsWithTheSameIdReportItAndKeepRunning) {
  this->Third.reset();
  this->Second.reset();
  this->Second = std::make_unique<FleetNode>(
      "entry-0", this->Addresses[1], std::vector{this->Addresses[0]}, 7);
  const std::string Text = "another live VM has this id";
  EXPECT_TRUE(this->First->waitForAudit("entry-0", Text));
  EXPECT_TRUE(this->Second->waitForAudit("entry-0", Text));
  publish(*this->First, 5);
  EXPECT_TRUE(hasRevision(*this->Second, 6));
}

// More readers would load the configuration service; fewer would depend on one
// VM.
TEST_F(FleetMemberTest, TwoOfThreeVmsOfAFailureDomainBecomeReaders) {
  publish(*this->First, 5);
  ASSERT_TRUE(this->First->waitForEntryVms(3));
  ASSERT_TRUE(this->Third->waitForEntryVms(3));
  EXPECT_TRUE(this->First->waitFor([this](control::ControlState &) {
    return this->First->IsReader + this->Second->IsReader +
               this->Third->IsReader ==
           2;
  }));
}

} // namespace acaciacross::peering
