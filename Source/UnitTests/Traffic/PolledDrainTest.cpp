#include "Traffic/PollSchedule.h"

#include "Common/SeededRandom.h"
#include "OpenRoom.h"
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

/// Searchers without any requests, of which only pages tell.
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

  /// Searcher 0 shows Page, all others are in service.
  void run(std::chrono::milliseconds Length, HealthPage Page) {
    const auto End = this->Time.monotonicNow() + Length;
    while (this->Time.monotonicNow() < End) {
      const auto Now = this->Time.monotonicNow();
      for (const PagePoll &Poll : this->Schedule.takeDue(Now, this->Room)) {
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
    const auto Next = this->Schedule.onEnded({Poll, Page}, this->Room);
    if (!Next)
      return;
    Page.Page = upstreams::LoadPage();
    this->Tracker.applyPage(Page, this->Time.monotonicNow());
    this->Schedule.onEnded({*Next, Page}, this->Room);
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
  OpenRoom Room;
  PollSchedule Schedule{{}, this->Random};
  upstreams::UpstreamTracker Tracker{
      std::make_unique<upstreams::FailureEjectionPolicy>()};
};

// Nothing but the page tells of the drain, and it must count within 3 s.
TEST_P(PolledDrainTest, DrainOnPageOnlyIsLeavingAndRestartReturns) {
  this->drain();
  this->run(seconds(3), {HealthStatus::Refused, false});
  EXPECT_TRUE(this->isLeaving());
  this->run(seconds(2), {HealthStatus::InService, false});
  EXPECT_FALSE(this->isLeaving());
}

TEST_P(PolledDrainTest, RestartBetweenTwoPollsReturnsByItsColdPage) {
  this->drain();
  this->run(seconds(2), {HealthStatus::InService, true});
  EXPECT_FALSE(this->isLeaving());
}

// A page that lags shows "serving" again after the drain; it proves no restart,
// and only two minutes without any sign end the mark.
TEST_P(PolledDrainTest, WarmPageAloneReturnsAfterTheQuietPeriodOnly) {
  this->drain();
  this->run(seconds(110), {HealthStatus::InService, false});
  EXPECT_TRUE(this->isLeaving());
  this->run(seconds(15), {HealthStatus::InService, false});
  EXPECT_FALSE(this->isLeaving());
}

TEST_P(PolledDrainTest, PageOfTheOldAddressDoesNotCount) {
  const upstreams::PolledPage Old{common::SearcherIndex(0),
                                  {"127.0.0.1", 7999},
                                  HealthPage{HealthStatus::Draining, false}};
  this->Tracker.applyPage(Old, this->Time.monotonicNow());
  EXPECT_FALSE(this->isLeaving());
}

INSTANTIATE_TEST_SUITE_P(Seeds, PolledDrainTest,
                         testing::Range<std::uint64_t>(1, 6));

} // namespace acaciacross::traffic
