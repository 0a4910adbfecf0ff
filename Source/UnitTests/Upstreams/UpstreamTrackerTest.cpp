#include "Upstreams/UpstreamTracker.h"

#include "TestSupport/ManualClock.h"
#include "Upstreams/FailureEjectionPolicy.h"

#include <gtest/gtest.h>

namespace acaciacross::upstreams {

using query::AttemptStatus;
using query::SearcherAvailability;
using namespace std::chrono_literals;

/// Ten shards of three replicas: searcher I holds shard I / 3.
class UpstreamTrackerTest : public testing::Test {
protected:
  static constexpr std::uint32_t SearcherCount = 30;

  UpstreamTrackerTest() { this->install(SearcherCount, 7301); }

  void install(std::uint32_t Count, std::uint16_t FirstPort) {
    std::vector<TrackedSearcher> Searchers;
    std::vector<ReplicaGroup> Groups(Count / 3);
    for (std::uint32_t I = 0; I < Count; ++I) {
      const auto Port = static_cast<std::uint16_t>(FirstPort + I);
      Searchers.push_back({index(I),
                           common::SearcherId("crew-" + std::to_string(I)),
                           {"127.0.0.1", Port}});
      Groups[I / 3].push_back(index(I));
    }
    this->Tracker.setService(common::ServiceName("crew"), Searchers, Groups,
                             this->now());
  }

  static common::SearcherIndex index(std::uint32_t I) {
    return common::SearcherIndex(I);
  }

  common::MonotonicTime now() const { return this->Time.monotonicNow(); }

  void advance(std::chrono::milliseconds Step) {
    this->Time.advance(Step);
    this->Tracker.tick(this->now());
  }

  void attempts(std::uint32_t I, AttemptStatus Status, int Count = 1,
                bool Draining = false) {
    const std::vector<UpstreamEvidence> Batch(
        static_cast<std::size_t>(Count),
        UpstreamEvidence{index(I), Status, this->now(), 5ms, Draining});
    this->Tracker.applyEvidence(Batch, this->now());
  }

  void health(std::uint32_t I, HealthStatus Status, bool Cold = false) {
    this->Tracker.applyHealth(index(I), {Status, Cold}, this->now());
  }

  void vmList(std::uint32_t LeavingFrom = SearcherCount) {
    std::map<common::SearcherIndex, bool> Listed;
    for (std::uint32_t I = 0; I < SearcherCount; ++I)
      Listed.emplace(index(I), I >= LeavingFrom);
    this->Tracker.applyVmList(Listed, this->now());
  }

  SearcherAvailability availability(std::uint32_t I) const {
    return this->Tracker.availability(index(I));
  }

  bool isLeaving(std::uint32_t I) const {
    return this->availability(I) == SearcherAvailability::Leaving;
  }

  std::size_t countEjected() const {
    std::size_t Count = 0;
    for (std::uint32_t I = 0; I < SearcherCount; ++I)
      if (this->availability(I) == SearcherAvailability::Ejected)
        ++Count;
    return Count;
  }

  bool sawEvent(UpstreamEventKind Kind) {
    for (const UpstreamEvent &Event : this->Tracker.takeEvents())
      if (Event.Kind == Kind)
        return true;
    return false;
  }

  testsupport::ManualClock Time;
  UpstreamTracker Tracker{std::make_unique<FailureEjectionPolicy>()};
};

// A leaving searcher must get no new work 3 s after the first sign, from
// whichever source, while the VM list goes on to show it live for 60 s.
TEST_F(UpstreamTrackerTest, DrainFromAnyOneSourceStopsNewWorkWithStaleVmList) {
  for (int Source = 0; Source < 3; ++Source) {
    const auto Searcher = static_cast<std::uint32_t>(Source);
    if (Source == 0)
      this->attempts(Searcher, AttemptStatus::Answered, 1, true);
    if (Source == 1)
      this->health(Searcher, HealthStatus::Draining);
    if (Source == 2)
      this->Tracker.applyNotice(index(Searcher), 2000ms, this->now());
    for (int Second = 0; Second < 60; ++Second) {
      this->advance(1s);
      this->vmList();
      const bool IsPastBound = Second >= 2;
      ASSERT_TRUE(!IsPastBound || this->isLeaving(Searcher))
          << Source << " " << Second;
    }
  }
  this->vmList(29);
  EXPECT_TRUE(this->isLeaving(29));
  EXPECT_EQ(this->Tracker.notices(this->now(), 16).size(), 3U);
}

// A searcher that drains while it has traffic: the page is discounted because
// of the last clean reply, and the next poll must count.
TEST_F(UpstreamTrackerTest, DrainOnHealthPageAfterLastReplyCountsAtNextPoll) {
  this->attempts(0, AttemptStatus::Answered);
  this->advance(100ms);
  this->health(0, HealthStatus::Draining);
  EXPECT_FALSE(this->isLeaving(0));
  this->advance(1s);
  this->health(0, HealthStatus::Draining);
  EXPECT_TRUE(this->isLeaving(0));
}

// A page that says "in service" lags; it must not send work to a leaving
// searcher again.
TEST_F(UpstreamTrackerTest, LeavingSearcherReturnsOnlyAsNewProcess) {
  this->attempts(0, AttemptStatus::Answered, 1, true);
  this->advance(1s);
  this->health(0, HealthStatus::InService);
  EXPECT_TRUE(this->isLeaving(0));
  this->health(0, HealthStatus::Refused);
  EXPECT_TRUE(this->isLeaving(0));
  this->health(0, HealthStatus::InService, true);
  EXPECT_EQ(this->availability(0), SearcherAvailability::Usable);
  EXPECT_LT(this->Tracker.share(index(0)), 0.5);

  // Signs of the old process arrive late from a peer and from the VM list.
  this->Tracker.applyNotice(index(0), 1500ms, this->now());
  this->advance(59s);
  this->vmList(0);
  EXPECT_FALSE(this->isLeaving(0));
}

// A restart between two polls shows no refused connection.
TEST_F(UpstreamTrackerTest, LeavingSearcherReturnsWhenSignsEndedForLong) {
  this->attempts(0, AttemptStatus::Answered, 1, true);
  this->advance(119s);
  this->health(0, HealthStatus::InService);
  this->advance(0s);
  EXPECT_TRUE(this->isLeaving(0));
  this->advance(1s);
  EXPECT_FALSE(this->isLeaving(0));
}

// Notices that peers repeat to each other must end.
TEST_F(UpstreamTrackerTest, NoticeBeyondItsAgeIsNeitherTakenNorSent) {
  this->Tracker.applyNotice(index(0), 120'001ms, this->now());
  EXPECT_FALSE(this->isLeaving(0));
  this->Tracker.applyNotice(index(1), 119'000ms, this->now());
  EXPECT_EQ(this->Tracker.notices(this->now(), 16).size(), 1U);
  this->advance(1001ms);
  EXPECT_TRUE(this->Tracker.notices(this->now(), 16).empty());
}

// Ejecting every failing replica would take the shard out of all answers.
TEST_F(UpstreamTrackerTest, EjectionTakesAtMostOneThirdOfAShard) {
  for (std::uint32_t I = 9; I < SearcherCount; ++I)
    this->attempts(I, AttemptStatus::Answered);
  for (std::uint32_t I = 0; I < 9; ++I)
    this->attempts(I, AttemptStatus::Lost, 20);
  EXPECT_EQ(this->countEjected(), 3U);
  EXPECT_EQ(this->availability(0), SearcherAvailability::Ejected);
  EXPECT_EQ(this->availability(1), SearcherAvailability::Usable);
}

TEST_F(UpstreamTrackerTest, EjectionSparesTheLastUsableReplica) {
  this->attempts(1, AttemptStatus::Answered, 1, true);
  this->attempts(2, AttemptStatus::Answered, 1, true);
  this->attempts(0, AttemptStatus::Lost, 20);
  EXPECT_EQ(this->availability(0), SearcherAvailability::Usable);
}

TEST_F(UpstreamTrackerTest, EjectionGrowsAndEndsInSlowStart) {
  for (const auto Length : {5s, 10s, 20s}) {
    this->attempts(0, AttemptStatus::NotSent, 5);
    this->advance(Length - 1ms);
    EXPECT_EQ(this->availability(0), SearcherAvailability::Ejected);
    this->advance(1ms);
    EXPECT_EQ(this->availability(0), SearcherAvailability::Usable);
  }
  double Last = 0.0;
  for (int Step = 0; Step < 4; ++Step) {
    EXPECT_GT(this->Tracker.share(index(0)), Last);
    Last = this->Tracker.share(index(0));
    this->advance(2s);
  }
  EXPECT_EQ(this->Tracker.share(index(0)), 1.0);
}

// A searcher that hangs loses every race against its replicas and so never
// shows as failed.
TEST_F(UpstreamTrackerTest, SearcherWithOnlyCancelledAttemptsIsEjected) {
  this->attempts(0, AttemptStatus::Cancelled, 9);
  this->attempts(0, AttemptStatus::Answered);
  this->attempts(0, AttemptStatus::Cancelled, 9);
  EXPECT_EQ(this->countEjected(), 0U);
  this->attempts(0, AttemptStatus::Cancelled);
  EXPECT_EQ(this->countEjected(), 1U);
}

// When the network of this VM fails, every searcher seems to; ejecting any
// would only prolong the fault.
TEST_F(UpstreamTrackerTest, VmThatSeesMostSearchersFailEjectsNone) {
  for (std::uint32_t I = 0; I < SearcherCount; ++I)
    this->attempts(I, AttemptStatus::Answered);
  for (int Round = 0; Round < 10; ++Round) {
    this->advance(100ms);
    for (std::uint32_t I = 0; I < SearcherCount; ++I)
      this->attempts(I, AttemptStatus::Lost);
  }
  EXPECT_EQ(this->countEjected(), 0U);
  EXPECT_TRUE(this->sawEvent(UpstreamEventKind::EjectionSuppressed));
}

// The fault reaches the searchers one by one; the first ejections were wrong.
TEST_F(UpstreamTrackerTest, SuspicionTakesRecentEjectionsBack) {
  for (std::uint32_t I = 0; I < SearcherCount; ++I)
    this->attempts(I, AttemptStatus::Answered);
  for (std::uint32_t I = 0; I < SearcherCount; ++I) {
    this->attempts(I, AttemptStatus::Lost, 6);
    this->advance(50ms);
  }
  EXPECT_EQ(this->countEjected(), 0U);
}

// Health pages of the platform may mislead in both directions.
// Attempts that a pause of this VM cut short would eject healthy searchers.
TEST_F(UpstreamTrackerTest, PauseEndsEjectionsAndDropsEarlierEvidence) {
  this->attempts(0, AttemptStatus::Lost, 5);
  this->attempts(3, AttemptStatus::Lost, 4);
  ASSERT_EQ(this->countEjected(), 1U);
  this->advance(700ms);
  this->Tracker.discardEvidence(this->now());
  EXPECT_EQ(this->countEjected(), 0U);
  EXPECT_EQ(this->Tracker.takeChangedServices().size(), 1U);
  // Elapsed reaches back into the pause.
  this->attempts(3, AttemptStatus::Lost, 10);
  EXPECT_EQ(this->countEjected(), 0U);
  this->attempts(6, AttemptStatus::Answered, 1, true);
  EXPECT_TRUE(this->isLeaving(6));
  this->advance(10ms);
  this->attempts(3, AttemptStatus::Lost, 5);
  EXPECT_EQ(this->countEjected(), 1U);
}

TEST_F(UpstreamTrackerTest, AttemptsOutrankLyingHealthPage) {
  for (int Round = 0; Round < 12; ++Round) {
    this->attempts(0, AttemptStatus::Answered);
    this->health(0, Round % 2 == 0 ? HealthStatus::Failing
                                   : HealthStatus::Draining);
    this->attempts(3, AttemptStatus::Lost);
    this->health(3, HealthStatus::InService);
    this->advance(400ms);
  }
  EXPECT_EQ(this->availability(0), SearcherAvailability::Usable);
  EXPECT_EQ(this->Tracker.share(index(0)), 1.0);
  EXPECT_EQ(this->availability(3), SearcherAvailability::Ejected);
}

// Without attempts of its own the VM goes by the pages, but keeps trying.
TEST_F(UpstreamTrackerTest, FailingPageLowersShareOnlyWhileItIsCurrent) {
  this->health(0, HealthStatus::Failing);
  EXPECT_EQ(this->availability(0), SearcherAvailability::Usable);
  EXPECT_LT(this->Tracker.share(index(0)), 0.5);
  this->advance(3001ms);
  EXPECT_EQ(this->Tracker.share(index(0)), 1.0);
}

TEST_F(UpstreamTrackerTest, NewOrMovedSearcherStartsSlowly) {
  EXPECT_EQ(this->Tracker.share(index(0)), 1.0);
  this->attempts(0, AttemptStatus::Answered, 1, true);
  this->install(33, 7301);
  EXPECT_EQ(this->Tracker.share(index(1)), 1.0);
  EXPECT_LT(this->Tracker.share(index(32)), 0.5);
  EXPECT_TRUE(this->isLeaving(0));
  this->install(33, 8301);
  EXPECT_FALSE(this->isLeaving(0));
  EXPECT_LT(this->Tracker.share(index(0)), 0.5);
}

} // namespace acaciacross::upstreams
