#include "Discovery/StoreFollower.h"

#include "FakeStore.h"

#include "Common/SeededRandom.h"
#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace acaciacross::discovery {

using std::chrono::milliseconds;

class StoreFollowerTest : public testing::Test, public StoreListener {
protected:
  void onSnapshot(std::vector<StoreItem> Items,
                  const StoreAnswer &Answer) override {
    this->Snapshots.push_back(Items.size());
    this->record(Answer);
  }
  void onChanges(std::vector<StoreChange> Changes,
                 const StoreAnswer &Answer) override {
    this->Changes += Changes.size();
    this->record(Answer);
  }
  void onCallFailed(const std::string &, milliseconds) override {}
  void onUnavailable(const std::string &) override { ++this->Outages; }
  void onAvailable() override { ++this->Recoveries; }
  void onHistoryLost() override { ++this->HistoryLosses; }
  void onInvalidEra(const std::string &) override { ++this->InvalidEras; }

  void record(const StoreAnswer &Answer) {
    this->Position = Answer.Position;
    this->GivenAt = Answer.GivenAt;
    if (Answer.Consistency == ReadConsistency::Current)
      ++this->Answers;
  }

  void addPage(common::StorePosition At) {
    this->Store.Pages.push_back(
        {StoreStatus::Answered, {{"a", "1", At}}, false, At, ""});
  }

  void readAll(common::StorePosition At) {
    this->addPage(At);
    this->Follower.poll(this->Store, {});
  }

  testsupport::ManualClock Time;
  common::SeededRandom Random{1};
  FakeStore Store;
  StoreFollower Follower{*this, this->Time, this->Random};
  std::vector<std::size_t> Snapshots;
  common::StorePosition Position;
  common::MonotonicTime GivenAt;
  std::size_t Changes = 0;
  int Answers = 0;
  int Outages = 0;
  int Recoveries = 0;
  int HistoryLosses = 0;
  int InvalidEras = 0;
};

// A change between the reads of two pages would be missed if the watch began at
// the revision of the last page.
TEST_F(StoreFollowerTest, WatchBeginsAtTheRevisionOfTheFirstPage) {
  this->Store.Pages = {
      {StoreStatus::Answered, {{"a", "1", 5}}, true, 10, ""},
      {StoreStatus::Answered, {{"b", "1", 12}}, false, 13, ""}};
  this->Follower.poll(this->Store, {});
  EXPECT_EQ(this->Snapshots, std::vector<std::size_t>{2});
  EXPECT_EQ(this->Store.PagesAfter, (std::vector<std::string>{"", "a"}));
  this->Follower.poll(this->Store, {});
  EXPECT_EQ(this->Store.WatchesAfter, std::vector<std::uint64_t>{10});
}

// Stale pages may differ in age. If the second page is older than the first,
// changes between their revisions would be missed.
TEST_F(StoreFollowerTest, WatchBeginsAtTheOldestRevisionOfStalePages) {
  this->Store.Pages = {{StoreStatus::Answered, {{"a", "1", 5}}, true, 10, ""},
                       {StoreStatus::Answered, {{"b", "1", 4}}, false, 7, ""}};
  this->Follower.poll(this->Store, {});
  this->Follower.poll(this->Store, {});
  EXPECT_EQ(this->Store.WatchesAfter, std::vector<std::uint64_t>{7});
}

// The first read may be stale to save cost: each starting VM reads a page for
// every 50 searchers. Later reads must be current, or the watch could lose its
// history again.
TEST_F(StoreFollowerTest, OnlyTheFirstReadMayBeStale) {
  this->readAll(10);
  this->Store.Watches.push_back({StoreStatus::HistoryLost, {}, 0, ""});
  this->readAll(20);
  EXPECT_EQ(
      this->Store.Consistencies,
      (std::vector{ReadConsistency::StaleAllowed, ReadConsistency::Current}));
}

// A watch that is never answered delays all changes until its timeout: with 20
// s, a version took effect 5 s late.
TEST_F(StoreFollowerTest, WatchEndsSoonEnoughForConfigurationToApply) {
  this->readAll(10);
  this->Follower.poll(this->Store, {});
  EXPECT_LE(this->Store.LongestWait, milliseconds(2'000));
}

// One call per change would multiply the load on the store.
TEST_F(StoreFollowerTest, ChangesThatFollowEachOtherAreBatched) {
  this->readAll(10);
  this->Store.Watches = {
      {StoreStatus::Answered, {{{"a", "2", 11}, false}}, 11, ""},
      {StoreStatus::Answered, {}, 11, ""}};
  EXPECT_GE(this->Follower.poll(this->Store, {}), milliseconds(300));
  EXPECT_EQ(this->Changes, 1U);
  EXPECT_EQ(this->Follower.poll(this->Store, {}), milliseconds(0));
}

// A watch cannot continue after lost history, and a delay would add to the age
// of the state.
TEST_F(StoreFollowerTest, AllItemsAreReadAgainAtOnceAfterLostHistory) {
  this->readAll(10);
  this->Store.Watches = {{StoreStatus::HistoryLost, {}, 0, ""}};
  this->readAll(20);
  EXPECT_EQ(this->HistoryLosses, 1);
  EXPECT_EQ(this->Snapshots.size(), 2U);
  EXPECT_EQ(this->Answers, 1);
}

// A reader whose time was over did not read again after lost history, and the
// other VMs took its answer for news: nobody read for seconds.
TEST_F(StoreFollowerTest, LostHistoryAloneIsNoAnswer) {
  this->readAll(10);
  this->Store.Watches = {{StoreStatus::HistoryLost, {}, 0, ""}};
  this->Follower.poll(this->Store, {});
  EXPECT_EQ(this->HistoryLosses, 1);
  EXPECT_EQ(this->Answers, 0);
}

// A VM that was frozen while it waited took an answer from before the pause for
// a new one, and its peers did not read the store.
TEST_F(StoreFollowerTest, AnswerThatWasReceivedAfterAPauseIsDatedBeforeIt) {
  this->readAll(10);
  this->Store.Watches = {{StoreStatus::Answered, {}, 10, ""}};
  this->Store.BeforeWatchAnswer = [this] {
    this->Time.advance(milliseconds(6'000));
  };
  const common::MonotonicTime CalledAt = this->Time.monotonicNow();
  this->Follower.poll(this->Store, {});
  EXPECT_LE(this->GivenAt - CalledAt, milliseconds(1'500));
}

// A waiting call may be interrupted while the store is available, so one
// failure is not an outage.
TEST_F(StoreFollowerTest, OneFailedCallIsNotAnOutage) {
  this->readAll(10);
  this->Follower.poll(this->Store, {});
  EXPECT_EQ(this->Outages, 0);
  this->Follower.poll(this->Store, {});
  EXPECT_EQ(this->Outages, 1);
  this->Follower.poll(this->Store, {});
  EXPECT_EQ(this->Outages, 1);
  this->Store.Watches = {{StoreStatus::Answered, {}, 10, ""}};
  this->Follower.poll(this->Store, {});
  EXPECT_EQ(this->Recoveries, 1);
}

// Refused calls are charged, too, so they must back off.
TEST_F(StoreFollowerTest, FailedCallsBackOffToASecond) {
  milliseconds MaxWait{0};
  for (int I = 0; I < 10; ++I) {
    const milliseconds Wait = this->Follower.poll(this->Store, {});
    EXPECT_GE(Wait, milliseconds(50));
    MaxWait = std::max(MaxWait, Wait);
  }
  EXPECT_GE(MaxWait, milliseconds(500));
  EXPECT_LE(MaxWait, milliseconds(1'000));
}

// A reader watched on from its revision of the old era and missed what the new
// one had written below it.
TEST_F(StoreFollowerTest, AnswerOfANewerEraLeadsToAReadOfAllItems) {
  this->readAll({1, 40});
  this->Store.Watches = {{StoreStatus::Answered, {}, {2, 41}}};
  this->readAll({2, 41});
  EXPECT_EQ(this->Snapshots.size(), 2U);
  EXPECT_EQ(this->Position, common::StorePosition(2, 41));
  EXPECT_EQ(this->Answers, 1);
}

// A late or stale answer from before the return would count as news.
TEST_F(StoreFollowerTest, AnswerOfAnOlderEraIsAFailedCall) {
  StoreReadMode Mode;
  Mode.KnownPosition = {2, 5};
  this->addPage({1, 40});
  this->Follower.poll(this->Store, Mode);
  EXPECT_TRUE(this->Snapshots.empty());
  this->addPage({2, 6});
  this->Follower.poll(this->Store, Mode);
  this->Store.Watches = {{StoreStatus::Answered, {}, {1, 41}}};
  this->Follower.poll(this->Store, Mode);
  EXPECT_EQ(this->Answers, 1);
  EXPECT_EQ(this->Store.Consistencies.back(), ReadConsistency::Current);
}

// The pages before and after a return have nothing in common.
TEST_F(StoreFollowerTest, PagesOfTwoErasAreNotMixed) {
  this->Store.Pages = {{StoreStatus::Answered, {{"a", "1", 5}}, true, {1, 10}},
                       {StoreStatus::Answered, {{"b", "1", 5}}, false, {2, 8}}};
  this->Follower.poll(this->Store, {});
  EXPECT_TRUE(this->Snapshots.empty());
  this->readAll({2, 8});
  EXPECT_EQ(this->Snapshots.size(), 1U);
}

// One answer without the header must not stop the reading.
TEST_F(StoreFollowerTest, AnswerWithoutAnEraIsOneOfTheKnownEra) {
  this->readAll({3, 10});
  for (const char *Told : {"x", "y"})
    this->Store.Watches.push_back({StoreStatus::Answered, {}, 12, "", Told});
  this->Follower.poll(this->Store, {});
  this->Follower.poll(this->Store, {});
  EXPECT_EQ(this->Position, common::StorePosition(3, 12));
  EXPECT_EQ(this->InvalidEras, 1) << "told once";
}

} // namespace acaciacross::discovery
