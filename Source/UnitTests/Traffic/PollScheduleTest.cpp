#include "Traffic/PollSchedule.h"

#include "Common/SeededRandom.h"
#include "OpenRoom.h"
#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

namespace acaciacross::traffic {

using std::chrono::milliseconds;
using std::chrono::seconds;

class PollScheduleTest : public testing::Test {
protected:
  void install(std::uint32_t Count) {
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

  /// Every poll ends at once with a page.
  void run(seconds Length) {
    const auto End = this->Time.monotonicNow() + Length;
    while (this->Time.monotonicNow() < End) {
      for (const PagePoll &Poll : this->take())
        this->finish(Poll);
      this->Time.advance(milliseconds(1));
    }
  }

  std::vector<PagePoll> take() {
    return this->Schedule.takeDue(this->Time.monotonicNow(), this->Room);
  }

  void finish(const PagePoll &Poll) {
    ++this->Health[Poll.Searcher];
    const upstreams::PolledPage Page{Poll.Searcher, Poll.Endpoint, {}};
    const auto Next = this->Schedule.onEnded({Poll, Page}, this->Room);
    ASSERT_TRUE(Next);
    EXPECT_EQ(Next->Kind, PageKind::Load);
    EXPECT_FALSE(this->Schedule.onEnded({*Next, Page}, this->Room));
  }

  testsupport::ManualClock Time;
  common::SeededRandom Random{1};
  OpenRoom Room;
  PollSchedule Schedule{{}, this->Random};
  std::map<common::SearcherIndex, std::size_t> Health;
};

// Searcher 1 is leaving; without polls its return would not be seen.
TEST_F(PollScheduleTest, EverySearcherIsPolledAboutOnceASecond) {
  this->install(45);
  this->run(seconds(100));
  ASSERT_EQ(this->Health.size(), 45U);
  for (const auto &[Searcher, Count] : this->Health) {
    EXPECT_GE(Count, 90U) << Searcher.Value;
    EXPECT_LE(Count, 110U) << Searcher.Value;
  }
}

// At the two-year size a poll a second of each searcher would cost more than
// all control may.
TEST_F(PollScheduleTest, ManySearchersArePolledAtTheFixedRate) {
  this->install(42'000);
  this->run(seconds(10));
  std::size_t Total = 0;
  for (const auto &[Searcher, Count] : this->Health)
    Total += Count;
  EXPECT_LE(Total, 10 * PollLimits().MaxPerSecond);
  EXPECT_GE(Total, 8 * PollLimits().MaxPerSecond);
}

// After a pause of the process all polls are due.
TEST_F(PollScheduleTest, PollsAfterAPauseKeepToTheBounds) {
  this->install(1000);
  this->Time.advance(seconds(100));
  const std::vector<PagePoll> First = this->take();
  EXPECT_EQ(First.size(), PollLimits().MaxAtOnce);
  EXPECT_TRUE(this->take().empty());
  EXPECT_FALSE(this->Schedule.nextDue());
  for (const PagePoll &Poll : First)
    this->finish(Poll);
  this->Health.clear();
  for (int I = 0; I < 100; ++I)
    for (const PagePoll &Poll : this->take())
      this->finish(Poll);
  std::size_t Total = First.size();
  for (const auto &[Searcher, Count] : this->Health)
    Total += Count;
  EXPECT_EQ(Total, PollLimits().MaxPerSecond);
  // A due time in the past would keep the thread from sleeping.
  EXPECT_EQ(this->Schedule.nextDue(), this->Time.monotonicNow() + seconds(1));
}

TEST_F(PollScheduleTest, SearcherWithoutRoomIsSkippedAndTriedSoon) {
  this->install(1);
  this->Room.Full.insert(common::SearcherIndex(0));
  this->Time.advance(seconds(2));
  EXPECT_TRUE(this->take().empty());
  EXPECT_EQ(this->Schedule.nextDue(),
            this->Time.monotonicNow() + PollLimits().SkipDelay);
  this->Room.Full.clear();
  this->Time.advance(PollLimits().SkipDelay);
  EXPECT_EQ(this->take().size(), 1U);
}

TEST_F(PollScheduleTest, SearcherThatLeftTheDocumentIsNotPolled) {
  this->install(2);
  this->Time.advance(seconds(2));
  const std::vector<PagePoll> Running = this->take();
  ASSERT_EQ(Running.size(), 2U);
  this->install(0);
  const upstreams::PolledPage Page{
      Running[0].Searcher, Running[0].Endpoint, {}};
  EXPECT_FALSE(this->Schedule.onEnded({Running[0], Page}, this->Room));
  EXPECT_FALSE(this->Schedule.nextDue());
}

} // namespace acaciacross::traffic
