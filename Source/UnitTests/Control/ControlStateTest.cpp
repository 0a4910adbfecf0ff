#include "Control/ControlState.h"

#include "Configuration/EntrySettingsParser.h"
#include "TestSupport/ManualClock.h"
#include "UnitTests/Configuration/SampleDocuments.h"

#include <gtest/gtest.h>

namespace acaciacross::control {

using configuration::ApplyOutcome;
using configuration::replaceFirst;
using configuration::SampleClasses;
using configuration::SampleService;
using membership::ServingState;
using namespace std::chrono_literals;

class ControlStateTest : public testing::Test {
protected:
  ApplyOutcome apply(const std::string &Key, std::uint64_t Number,
                     const std::string &Text,
                     const std::string &Cause = "service") {
    return this->State
        .applyConfiguration({Key, common::Revision(Number), Text}, Cause)
        .Outcome;
  }

  std::shared_ptr<const query::ServiceView> crewView() {
    return this->State.buildView()->Services.at(
        common::ServiceName("crew-dispatch"));
  }

  static std::string classesFor(std::uint32_t MaxEntryVms) {
    return replaceFirst(SampleClasses, "max_entry_vms = 12",
                        "max_entry_vms = " + std::to_string(MaxEntryVms));
  }

  testsupport::ManualClock Time;
  ControlState State{configuration::EntrySettingsParser::parse(
                         configuration::SampleSettings, "entry.toml"),
                     Time};
};

// Guards against a view that grants this VM a searcher's whole connection
// limit, or that marks the wrong searchers as local.
TEST_F(ControlStateTest, ViewDividesConnectionCapAndComparesZones) {
  this->apply("classes", 1, SampleClasses);
  this->apply("service/crew-dispatch", 2, SampleService);
  const auto View = this->crewView();
  ASSERT_EQ(View->Searchers.size(), 3U);
  EXPECT_EQ(View->Searchers[0].ConnectionQuota, 2U);
  EXPECT_TRUE(View->Searchers[0].SameZone);
  EXPECT_FALSE(View->Searchers[1].SameZone);
  ASSERT_EQ(View->Snapshots.size(), 1U);
  EXPECT_EQ(View->Snapshots[0].Shards[1].Replicas,
            (std::vector<std::uint32_t>{0, 1, 2}));
}

// Guards against a view without the deployment budget, in which this VM would
// use the whole connection limit of a searcher.
TEST_F(ControlStateTest, ViewBeforeClassesNamesNoService) {
  this->apply("service/crew-dispatch", 2, SampleService);
  EXPECT_TRUE(this->State.buildView()->Services.empty());
}

// libcurl interprets a connection limit of 0 as "no limit". Guards against
// requests to a searcher for which this VM has no connection quota.
TEST_F(ControlStateTest, SearcherWithoutQuotaGetsNoWork) {
  this->apply("classes", 1, classesFor(26));
  this->apply("service/crew-dispatch", 2, SampleService);
  EXPECT_EQ(this->crewView()->Searchers[0].ConnectionQuota, 0U);
  EXPECT_NE(this->crewView()->Searchers[0].Availability,
            query::SearcherAvailability::Usable);
}

// Guards against two traffic threads that each use the whole quota and together
// exceed the searcher's connection limit.
TEST_F(ControlStateTest, ServicesAtOneAddressDivideItsQuota) {
  this->apply("classes", 1, SampleClasses);
  this->apply("service/crew-dispatch", 2, SampleService);
  this->apply("service/other", 3, SampleService);
  EXPECT_EQ(this->crewView()->Searchers[0].ConnectionQuota, 1U);
}

// Queued evidence refers to a searcher by its index. Guards against an index
// that refers to another searcher after a document change.
TEST_F(ControlStateTest, SearcherKeepsItsIndexWhenDocumentsChange) {
  this->apply("classes", 1, SampleClasses);
  this->apply("service/crew-dispatch", 2, SampleService);
  const auto Before = this->crewView();
  const std::string Reordered = replaceFirst(
      replaceFirst(replaceFirst(SampleService, "id = \"crew-0\"", "id = \"x\""),
                   "id = \"crew-1\"", "id = \"crew-0\""),
      "id = \"x\"", "id = \"crew-1\"");
  this->apply("service/crew-dispatch", 3, Reordered);
  const auto After = this->crewView();
  EXPECT_EQ(After->Searchers[0].Id, Before->Searchers[1].Id);
  EXPECT_EQ(After->Searchers[0].Index, Before->Searchers[1].Index);
}

// Guards against serving before the documents are complete, and against an
// unnecessary wait after a peer has answered.
TEST_F(ControlStateTest, StartingVmServesOnceDocumentsAndPeerAnswered) {
  this->State.recordPeerAnswer();
  this->apply("classes", 1, SampleClasses);
  EXPECT_EQ(this->State.servingState(), ServingState::Joining);
  this->apply("service/crew-dispatch", 2, SampleService);
  EXPECT_EQ(this->State.servingState(), ServingState::Serving);
}

// Guards against the first VM of a fleet waiting forever for a peer.
TEST_F(ControlStateTest, StartingVmWithoutPeerServesAfterJoinTime) {
  this->apply("classes", 1, SampleClasses);
  this->apply("service/crew-dispatch", 2, SampleService);
  this->Time.advance(1999ms);
  this->State.tick();
  EXPECT_EQ(this->State.servingState(), ServingState::Joining);
  this->Time.advance(1ms);
  this->State.tick();
  EXPECT_EQ(this->State.servingState(), ServingState::Serving);
}

// Guards against serving without documents, which would fail every request.
TEST_F(ControlStateTest, StartingVmWithoutDocumentsStaysJoining) {
  this->Time.advance(1h);
  this->State.recordPeerAnswer();
  this->State.tick();
  EXPECT_EQ(this->State.servingState(), ServingState::Joining);
}

// A restarted VM reads a stale configuration service before and after a peer
// sends it a newer revision. Guards against a return to the older revision.
TEST_F(ControlStateTest, RestartedVmKeepsRevisionOfPeerWhenServiceIsStale) {
  this->apply("classes", 3, classesFor(10));
  this->apply("service/crew-dispatch", 2, SampleService);
  EXPECT_EQ(this->State.servingState(), ServingState::Joining);
  EXPECT_EQ(this->apply("classes", 9, classesFor(12), "peer entry-2"),
            ApplyOutcome::Accepted);
  this->State.recordPeerAnswer();
  EXPECT_EQ(this->apply("classes", 3, classesFor(10)), ApplyOutcome::Stale);
  EXPECT_EQ(this->State.buildView()->Budget.MaxEntryVms, 12U);
  EXPECT_EQ(this->State.buildView()->RevisionInEffect, common::Revision(9));
}

// Guards against losing the document in effect, or the audit entry, when a
// newer document is invalid.
TEST_F(ControlStateTest, InvalidDocumentIsRefusedAndAcceptedOneStays) {
  this->apply("classes", 1, classesFor(10));
  EXPECT_EQ(this->apply("classes", 2, classesFor(0)), ApplyOutcome::Invalid);
  EXPECT_EQ(this->State.buildView()->Budget.MaxEntryVms, 10U);
  const AuditEntry Last = this->State.audit().after(0).back();
  EXPECT_EQ(Last.Subject, "classes");
  EXPECT_NE(Last.Text.find("revision 2 refused"), std::string::npos);
}

// Two operators publish changes at the same time. Guards against VMs that end
// with different revisions depending on the order of arrival, and against a
// change that is missing from the audit trail.
TEST_F(ControlStateTest,
       ConcurrentChangesOfTwoOperatorsGiveOneResultAndTwoEntries) {
  ControlState Other{this->State.settings(), this->Time};
  this->apply("classes", 5, classesFor(10));
  this->apply("classes", 6, classesFor(11));
  Other.applyConfiguration({"classes", common::Revision(6), classesFor(11)},
                           "peer entry-1");
  Other.applyConfiguration({"classes", common::Revision(5), classesFor(10)},
                           "service");
  EXPECT_EQ(this->State.configuration().digest(),
            Other.configuration().digest());
  EXPECT_EQ(Other.buildView()->Budget.MaxEntryVms, 11U);
  for (ControlState *Vm : {&this->State, &Other}) {
    const auto Entries = Vm->audit().after(0);
    ASSERT_EQ(Entries.size(), 2U);
    EXPECT_NE(Entries[0].Text.substr(0, 10), Entries[1].Text.substr(0, 10));
  }
}

} // namespace acaciacross::control
