#include "Traffic/PollSchedule.h"

#include "Common/SeededRandom.h"
#include "FakeConnectionAvailability.h"
#include "TestSupport/ManualClock.h"
#include "Upstreams/FailureEjectionPolicy.h"
#include "Upstreams/UpstreamTracker.h"

#include <gtest/gtest.h>

namespace acaciacross::traffic {

using query::SearcherAvailability;
using std::chrono::milliseconds;
using std::chrono::seconds;
using upstreams::HealthPage;
using upstreams::HealthStatus;

/// Searchers without requests, whose state is known only from their pages.
class PolledDrainTest : public testing::TestWithParam<std::uint64_t> {
protected:
  static constexpr std::uint32_t Count = 45;

  PolledDrainTest() {
    auto View = std::make_shared<query::ServiceView>();
    std::vector<upstreams::TrackedSearcher> Tracked;
    std::vector<upstreams::ReplicaGroup> Groups(1);
    for (std::uint32_t I = 0; I < Count; ++I) {
      query::SearcherView Searcher;
      Searcher.Index = common::SearcherIndex(I);
      Searcher.Endpoint = {"127.0.0.1", static_cast<std::uint16_t>(7301 + I)};
      View->Searchers.push_back(Searcher);
      Tracked.push_back({Searcher.Index, common::SearcherId(std::to_string(I)),
                         Searcher.Endpoint});
      Groups[0].push_back(Searcher.Index);
    }
    this->Tracker.setService(common::ServiceName("crew"), Tracked, Groups,
                             this->Time.monotonicNow());
    this->Schedule.updateService(View, this->Time.monotonicNow());
  }

  /// Polls for Duration; searcher 0 returns Page, all others are in service.
  void run(std::chrono::milliseconds Duration, HealthPage Page) {
    const auto End = this->Time.monotonicNow() + Duration;
    while (this->Time.monotonicNow() < End) {
      const auto Now = this->Time.monotonicNow();
      for (const PagePoll &Poll :
           this->Schedule.takeDue(Now, this->Connections)) {
        const bool IsFirst = Poll.Searcher == common::SearcherIndex(0);
        this->poll(Poll, IsFirst ? Page : HealthPage());
      }
      this->Tracker.tick(Now);
      this->Time.advance(milliseconds(10));
    }
  }

  void poll(const PagePoll &Poll, HealthPage Shown) {
    upstreams::PolledPage Page{Poll.Searcher, Poll.Endpoint, Shown};
    this->Tracker.applyPage(Page, this->Time.monotonicNow());
    const auto Next =
        this->Schedule.onPollFinished({Poll, Page}, this->Connections);
    if (!Next)
      return;
    Page.Page = upstreams::LoadPage();
    this->Tracker.applyPage(Page, this->Time.monotonicNow());
    this->Schedule.onPollFinished({*Next, Page}, this->Connections);
  }

  bool isLeaving() const {
    return this->Tracker.availability(common::SearcherIndex(0)) ==
           SearcherAvailability::Leaving;
  }

  void drain() {
    this->run(seconds(5), {HealthStatus::InService, false});
    ASSERT_FALSE(this->isLeaving());
    this->run(seconds(3), {HealthStatus::Draining, false});
    ASSERT_TRUE(this->isLeaving());
  }

  testsupport::ManualClock Time;
  common::SeededRandom Random{GetParam()};
  FakeConnectionAvailability Connections;
  PollSchedule Schedule{{}, this->Random};
  upstreams::UpstreamTracker Tracker{
      std::make_unique<upstreams::FailureEjectionPolicy>()};
};

// A drain that only the page reports must take effect within 3 s.
TEST_P(PolledDrainTest, DrainReportedOnlyByPageMarksLeavingUntilRestart) {
  this->drain();
  this->run(seconds(3), {HealthStatus::Refused, false});
  EXPECT_TRUE(this->isLeaving());
  this->run(seconds(2), {HealthStatus::InService, false});
  EXPECT_FALSE(this->isLeaving());
}

TEST_P(PolledDrainTest, ColdPageAfterRestartBetweenPollsEndsLeaving) {
  this->drain();
  this->run(seconds(2), {HealthStatus::InService, true});
  EXPECT_FALSE(this->isLeaving());
}

// A stale page may report "serving" again after the drain. It does not prove a
// restart, so the searcher stays leaving until two minutes pass without another
// sign of the drain.
TEST_P(PolledDrainTest, WarmPageEndsLeavingOnlyAfterTheQuietPeriod) {
  this->drain();
  this->run(seconds(110), {HealthStatus::InService, false});
  EXPECT_TRUE(this->isLeaving());
  this->run(seconds(15), {HealthStatus::InService, false});
  EXPECT_FALSE(this->isLeaving());
}

TEST_P(PolledDrainTest, PageOfTheOldAddressIsIgnored) {
  const upstreams::PolledPage Old{common::SearcherIndex(0),
                                  {"127.0.0.1", 7999},
                                  HealthPage{HealthStatus::Draining, false}};
  this->Tracker.applyPage(Old, this->Time.monotonicNow());
  EXPECT_FALSE(this->isLeaving());
}

INSTANTIATE_TEST_SUITE_P(Seeds, PolledDrainTest,
                         testing::Range<std::uint64_t>(1, 6));

} // namespace acaciacross::traffic
