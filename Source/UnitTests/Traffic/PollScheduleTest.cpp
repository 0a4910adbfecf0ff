#include "Traffic/PollSchedule.h"

#include "Common/SeededRandom.h"
#include "FakeConnectionAvailability.h"
#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

namespace acaciacross::traffic {

using std::chrono::milliseconds;
using std::chrono::seconds;

class PollScheduleTest : public testing::Test {
protected:
  void setSearcherCount(std::uint32_t Count) {
    auto View = std::make_shared<query::ServiceView>();
    for (std::uint32_t I = 0; I < Count; ++I) {
      query::SearcherView Searcher;
      Searcher.Index = common::SearcherIndex(I);
      Searcher.Endpoint = {"127.0.0.1", 7301};
      if (I == 1)
        Searcher.Availability = query::SearcherAvailability::Leaving;
      View->Searchers.push_back(Searcher);
    }
    this->Schedule.updateService(View, this->Time.monotonicNow());
  }

  /// Runs the schedule; every poll ends at once with a page.
  void run(seconds Duration) {
    const auto End = this->Time.monotonicNow() + Duration;
    while (this->Time.monotonicNow() < End) {
      for (const PagePoll &Poll : this->take())
        this->finish(Poll);
      this->Time.advance(milliseconds(1));
    }
  }

  std::vector<PagePoll> take() {
    return this->Schedule.takeDue(this->Time.monotonicNow(), this->Connections);
  }

  void finish(const PagePoll &Poll) {
    ++this->HealthPolls[Poll.Searcher];
    const upstreams::PolledPage Page{Poll.Searcher, Poll.Endpoint, {}};
    const auto Next =
        this->Schedule.onPollFinished({Poll, Page}, this->Connections);
    ASSERT_TRUE(Next);
    EXPECT_EQ(Next->Kind, PageKind::Load);
    EXPECT_FALSE(
        this->Schedule.onPollFinished({*Next, Page}, this->Connections));
  }

  testsupport::ManualClock Time;
  common::SeededRandom Random{1};
  FakeConnectionAvailability Connections;
  PollSchedule Schedule{{}, this->Random};
  std::map<common::SearcherIndex, std::size_t> HealthPolls;
};

// Searcher 1 is leaving. Without polls this VM would not notice when it is
// available again.
TEST_F(PollScheduleTest, EverySearcherIsPolledAboutOnceASecond) {
  this->setSearcherCount(45);
  this->run(seconds(100));
  ASSERT_EQ(this->HealthPolls.size(), 45U);
  for (const auto &[Searcher, Count] : this->HealthPolls) {
    EXPECT_GE(Count, 90U) << Searcher.Value;
    EXPECT_LE(Count, 110U) << Searcher.Value;
  }
}

// At the size planned for two years, polling each searcher once a second would
// exceed the limit for all control traffic.
TEST_F(PollScheduleTest, ManySearchersArePolledAtTheFixedRate) {
  this->setSearcherCount(42'000);
  this->run(seconds(10));
  std::size_t Total = 0;
  for (const auto &[Searcher, Count] : this->HealthPolls)
    Total += Count;
  EXPECT_LE(Total, 10 * PollLimits().MaxPerSecond);
  EXPECT_GE(Total, 8 * PollLimits().MaxPerSecond);
}

// After the process was paused all polls are due at once.
TEST_F(PollScheduleTest, PollsAfterAPauseStayWithinTheLimits) {
  this->setSearcherCount(1000);
  this->Time.advance(seconds(100));
  const std::vector<PagePoll> First = this->take();
  EXPECT_EQ(First.size(), PollLimits().MaxConcurrent);
  EXPECT_TRUE(this->take().empty());
  EXPECT_FALSE(this->Schedule.nextDue());
  for (const PagePoll &Poll : First)
    this->finish(Poll);
  this->HealthPolls.clear();
  for (int I = 0; I < 100; ++I)
    for (const PagePoll &Poll : this->take())
      this->finish(Poll);
  std::size_t Total = First.size();
  for (const auto &[Searcher, Count] : this->HealthPolls)
    Total += Count;
  EXPECT_EQ(Total, PollLimits().MaxPerSecond);
  // A due time in the past would keep the thread from sleeping.
  EXPECT_EQ(this->Schedule.nextDue(), this->Time.monotonicNow() + seconds(1));
}

TEST_F(PollScheduleTest, SearcherWithoutFreeConnectionIsRetriedSoon) {
  this->setSearcherCount(1);
  this->Connections.Full.insert(common::SearcherIndex(0));
  this->Time.advance(seconds(2));
  EXPECT_TRUE(this->take().empty());
  EXPECT_EQ(this->Schedule.nextDue(),
            this->Time.monotonicNow() + PollLimits().BusyRetryDelay);
  this->Connections.Full.clear();
  this->Time.advance(PollLimits().BusyRetryDelay);
  EXPECT_EQ(this->take().size(), 1U);
}

TEST_F(PollScheduleTest, SearcherRemovedFromTheDocumentIsNotPolled) {
  this->setSearcherCount(2);
  this->Time.advance(seconds(2));
  const std::vector<PagePoll> Running = this->take();
  ASSERT_EQ(Running.size(), 2U);
  this->setSearcherCount(0);
  const upstreams::PolledPage Page{
      Running[0].Searcher, Running[0].Endpoint, {}};
  EXPECT_FALSE(
      this->Schedule.onPollFinished({Running[0], Page}, this->Connections));
  EXPECT_FALSE(this->Schedule.nextDue());
}

} // namespace acaciacross::traffic
