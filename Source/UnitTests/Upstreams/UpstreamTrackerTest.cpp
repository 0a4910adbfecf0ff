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

  UpstreamTrackerTest() { this->installSearchers(SearcherCount, 7301); }

  void installSearchers(std::uint32_t Count, std::uint16_t FirstPort) {
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

  void addAttempts(std::uint32_t I, AttemptStatus Status, int Count = 1,
                   bool Draining = false) {
    const std::vector<UpstreamEvidence> Batch(
        static_cast<std::size_t>(Count),
        UpstreamEvidence{index(I), Status, this->now(), 5ms, Draining});
    this->Tracker.applyEvidence(Batch, this->now());
  }

  void applyHealth(std::uint32_t I, HealthStatus Status, bool Cold = false) {
    this->Tracker.applyHealth(index(I), {Status, Cold}, this->now());
  }

  void applyVmList(std::uint32_t FirstLeaving = SearcherCount) {
    std::map<common::SearcherIndex, bool> Listed;
    for (std::uint32_t I = 0; I < SearcherCount; ++I)
      Listed.emplace(index(I), I >= FirstLeaving);
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

// Guards against requests to a leaving searcher. It must get none later than
// 3 s after the first signal of any source, although the VM list shows it as
// live for 60 s.
TEST_F(UpstreamTrackerTest, DrainFromAnyOneSourceStopsNewWorkWithStaleVmList) {
  for (int Source = 0; Source < 3; ++Source) {
    const auto Searcher = static_cast<std::uint32_t>(Source);
    if (Source == 0)
      this->addAttempts(Searcher, AttemptStatus::Answered, 1, true);
    if (Source == 1)
      this->applyHealth(Searcher, HealthStatus::Draining);
    if (Source == 2)
      this->Tracker.applyDrainNotice(index(Searcher), 2000ms, this->now());
    for (int Second = 0; Second < 60; ++Second) {
      this->advance(1s);
      this->applyVmList();
      const bool IsPastBound = Second >= 2;
      ASSERT_TRUE(!IsPastBound || this->isLeaving(Searcher))
          << Source << " " << Second;
    }
  }
  this->applyVmList(29);
  EXPECT_TRUE(this->isLeaving(29));
  EXPECT_EQ(this->Tracker.drainNotices(this->now(), 16).size(), 3U);
}

// A health page that reports a drain is ignored shortly after a reply without
// the draining header. Guards against ignoring the next poll as well.
TEST_F(UpstreamTrackerTest, DrainOnHealthPageAfterLastReplyCountsAtNextPoll) {
  this->addAttempts(0, AttemptStatus::Answered);
  this->advance(100ms);
  this->applyHealth(0, HealthStatus::Draining);
  EXPECT_FALSE(this->isLeaving(0));
  this->advance(1s);
  this->applyHealth(0, HealthStatus::Draining);
  EXPECT_TRUE(this->isLeaving(0));
}

// A health page that reports "in service" may be outdated. Guards against
// requests to a leaving searcher because of such a page.
TEST_F(UpstreamTrackerTest, LeavingSearcherReturnsOnlyAsNewProcess) {
  this->addAttempts(0, AttemptStatus::Answered, 1, true);
  this->advance(1s);
  this->applyHealth(0, HealthStatus::InService);
  EXPECT_TRUE(this->isLeaving(0));
  this->applyHealth(0, HealthStatus::Refused);
  EXPECT_TRUE(this->isLeaving(0));
  this->applyHealth(0, HealthStatus::InService, true);
  EXPECT_EQ(this->availability(0), SearcherAvailability::Usable);
  EXPECT_LT(this->Tracker.share(index(0)), 0.5);

  // Signals about the old process arrive late from a peer and the VM list.
  this->Tracker.applyDrainNotice(index(0), 1500ms, this->now());
  this->advance(59s);
  this->applyVmList(0);
  EXPECT_FALSE(this->isLeaving(0));
}

// A restart between two polls causes no refused connection. Guards against a
// searcher that stays leaving because its restart was not observed.
TEST_F(UpstreamTrackerTest, LeavingSearcherReturnsWhenSignalsHaveEnded) {
  this->addAttempts(0, AttemptStatus::Answered, 1, true);
  this->advance(119s);
  this->applyHealth(0, HealthStatus::InService);
  this->advance(0s);
  EXPECT_TRUE(this->isLeaving(0));
  this->advance(1s);
  EXPECT_FALSE(this->isLeaving(0));
}

// Guards against notices that peers repeat to each other forever.
TEST_F(UpstreamTrackerTest, NoticeOlderThanLimitIsNeitherAcceptedNorSent) {
  this->Tracker.applyDrainNotice(index(0), 120'001ms, this->now());
  EXPECT_FALSE(this->isLeaving(0));
  this->Tracker.applyDrainNotice(index(1), 119'000ms, this->now());
  EXPECT_EQ(this->Tracker.drainNotices(this->now(), 16).size(), 1U);
  this->advance(1001ms);
  EXPECT_TRUE(this->Tracker.drainNotices(this->now(), 16).empty());
}

// Guards against ejecting every failing replica of a shard, which would remove
// the shard from all answers.
TEST_F(UpstreamTrackerTest, EjectionIsLimitedToOneThirdOfShardReplicas) {
  for (std::uint32_t I = 9; I < SearcherCount; ++I)
    this->addAttempts(I, AttemptStatus::Answered);
  for (std::uint32_t I = 0; I < 9; ++I)
    this->addAttempts(I, AttemptStatus::Lost, 20);
  EXPECT_EQ(this->countEjected(), 3U);
  EXPECT_EQ(this->availability(0), SearcherAvailability::Ejected);
  EXPECT_EQ(this->availability(1), SearcherAvailability::Usable);
}

// Guards against ejecting the last usable replica while the others are leaving.
TEST_F(UpstreamTrackerTest, LastUsableReplicaIsNotEjected) {
  this->addAttempts(1, AttemptStatus::Answered, 1, true);
  this->addAttempts(2, AttemptStatus::Answered, 1, true);
  this->addAttempts(0, AttemptStatus::Lost, 20);
  EXPECT_EQ(this->availability(0), SearcherAvailability::Usable);
}

// Guards against frequent probing of a searcher that stays faulty, and against
// full load on a searcher that was just restored.
TEST_F(UpstreamTrackerTest, RepeatedEjectionLastsLongerAndEndsInSlowStart) {
  for (const auto Length : {5s, 10s, 20s}) {
    this->addAttempts(0, AttemptStatus::NotSent, 5);
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

// A searcher that hangs has no failed attempts, because another replica answers
// first and its attempts are cancelled. Guards against never ejecting it.
TEST_F(UpstreamTrackerTest, SearcherWithOnlyCancelledAttemptsIsEjected) {
  this->addAttempts(0, AttemptStatus::Cancelled, 9);
  this->addAttempts(0, AttemptStatus::Answered);
  this->addAttempts(0, AttemptStatus::Cancelled, 9);
  EXPECT_EQ(this->countEjected(), 0U);
  this->addAttempts(0, AttemptStatus::Cancelled);
  EXPECT_EQ(this->countEjected(), 1U);
}

// When the network of this VM fails, all searchers appear to fail. Guards
// against ejections, which would only prolong the outage.
TEST_F(UpstreamTrackerTest, VmThatSeesMostSearchersFailEjectsNone) {
  for (std::uint32_t I = 0; I < SearcherCount; ++I)
    this->addAttempts(I, AttemptStatus::Answered);
  for (int Round = 0; Round < 10; ++Round) {
    this->advance(100ms);
    for (std::uint32_t I = 0; I < SearcherCount; ++I)
      this->addAttempts(I, AttemptStatus::Lost);
  }
  EXPECT_EQ(this->countEjected(), 0U);
  EXPECT_TRUE(this->sawEvent(UpstreamEventKind::EjectionSuppressed));
}

// A fault of this VM affects the searchers one after the other. Guards against
// keeping the ejections made before the fault was recognized.
TEST_F(UpstreamTrackerTest, SuspectedLocalFaultRevertsRecentEjections) {
  for (std::uint32_t I = 0; I < SearcherCount; ++I)
    this->addAttempts(I, AttemptStatus::Answered);
  for (std::uint32_t I = 0; I < SearcherCount; ++I) {
    this->addAttempts(I, AttemptStatus::Lost, 6);
    this->advance(50ms);
  }
  EXPECT_EQ(this->countEjected(), 0U);
}

// Guards against ejecting healthy searchers because of attempts that a pause of
// this VM interrupted.
TEST_F(UpstreamTrackerTest, PauseEndsEjectionsAndDropsEarlierEvidence) {
  this->addAttempts(0, AttemptStatus::Lost, 5);
  this->addAttempts(3, AttemptStatus::Lost, 4);
  ASSERT_EQ(this->countEjected(), 1U);
  this->advance(700ms);
  this->Tracker.discardEvidence(this->now());
  EXPECT_EQ(this->countEjected(), 0U);
  EXPECT_EQ(this->Tracker.takeChangedServices().size(), 1U);
  // These attempts started before the end of the pause.
  this->addAttempts(3, AttemptStatus::Lost, 10);
  EXPECT_EQ(this->countEjected(), 0U);
  this->addAttempts(6, AttemptStatus::Answered, 1, true);
  EXPECT_TRUE(this->isLeaving(6));
  this->advance(10ms);
  this->addAttempts(3, AttemptStatus::Lost, 5);
  EXPECT_EQ(this->countEjected(), 1U);
}

// A health page may wrongly report a searcher as healthy or as unhealthy.
// Guards against trusting it over the results of attempts.
TEST_F(UpstreamTrackerTest, AttemptResultsOverrideWrongHealthPage) {
  for (int Round = 0; Round < 12; ++Round) {
    this->addAttempts(0, AttemptStatus::Answered);
    this->applyHealth(0, Round % 2 == 0 ? HealthStatus::Failing
                                        : HealthStatus::Draining);
    this->addAttempts(3, AttemptStatus::Lost);
    this->applyHealth(3, HealthStatus::InService);
    this->advance(400ms);
  }
  EXPECT_EQ(this->availability(0), SearcherAvailability::Usable);
  EXPECT_EQ(this->Tracker.share(index(0)), 1.0);
  EXPECT_EQ(this->availability(3), SearcherAvailability::Ejected);
}

// Guards against a searcher that gets no requests, or stays at a low share,
// because of an old health page when there are no attempt results.
TEST_F(UpstreamTrackerTest, FailingPageLowersShareOnlyWhileItIsCurrent) {
  this->applyHealth(0, HealthStatus::Failing);
  EXPECT_EQ(this->availability(0), SearcherAvailability::Usable);
  EXPECT_LT(this->Tracker.share(index(0)), 0.5);
  this->advance(3001ms);
  EXPECT_EQ(this->Tracker.share(index(0)), 1.0);
}

// Guards against full load on a searcher that has just started, and against
// applying the state of the old process after a change of address.
TEST_F(UpstreamTrackerTest, NewOrMovedSearcherBeginsSlowStart) {
  EXPECT_EQ(this->Tracker.share(index(0)), 1.0);
  this->addAttempts(0, AttemptStatus::Answered, 1, true);
  this->installSearchers(33, 7301);
  EXPECT_EQ(this->Tracker.share(index(1)), 1.0);
  EXPECT_LT(this->Tracker.share(index(32)), 0.5);
  EXPECT_TRUE(this->isLeaving(0));
  this->installSearchers(33, 8301);
  EXPECT_FALSE(this->isLeaving(0));
  EXPECT_LT(this->Tracker.share(index(0)), 0.5);
}

} // namespace acaciacross::upstreams
