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
  void onSnapshot(std::vector<StoreItem> Items, std::uint64_t At) override {
    this->Snapshots.push_back(Items.size());
    this->Revision = At;
  }
  void onChanges(std::vector<StoreChange> Changes, std::uint64_t At) override {
    this->Changes += Changes.size();
    this->Revision = At;
  }
  void onAnswered() override {}
  void onCallFailed(const std::string &, milliseconds) override {}
  void onUnavailable(const std::string &) override { ++this->Outages; }
  void onAvailable() override { ++this->Returns; }
  void onHistoryLost() override { ++this->Losses; }

  void readAll(std::uint64_t At) {
    this->Store.Pages.push_back(
        {StoreStatus::Answered, {{"a", "1", At}}, false, At, ""});
    this->Follower.step(this->Store, 0);
  }

  testsupport::ManualClock Time;
  common::SeededRandom Random{1};
  FakeStore Store;
  StoreFollower Follower{*this, this->Time, this->Random};
  std::vector<std::size_t> Snapshots;
  std::uint64_t Revision = 0;
  std::size_t Changes = 0;
  int Outages = 0;
  int Returns = 0;
  int Losses = 0;
};

// A change between two pages would be missed if the watch began at the last.
TEST_F(StoreFollowerTest, WatchBeginsAtTheRevisionOfTheFirstPage) {
  this->Store.Pages = {
      {StoreStatus::Answered, {{"a", "1", 5}}, true, 10, ""},
      {StoreStatus::Answered, {{"b", "1", 12}}, false, 13, ""}};
  this->Follower.step(this->Store, 0);
  EXPECT_EQ(this->Snapshots, std::vector<std::size_t>{2});
  EXPECT_EQ(this->Store.PagesAfter, (std::vector<std::string>{"", "a"}));
  this->Follower.step(this->Store, 0);
  EXPECT_EQ(this->Store.WatchesAfter, std::vector<std::uint64_t>{10});
}

// Stale pages may differ in age: what changed between an older second page and
// a newer first one would be missed.
TEST_F(StoreFollowerTest, WatchBeginsAtTheOldestOfStalePages) {
  this->Store.Pages = {{StoreStatus::Answered, {{"a", "1", 5}}, true, 10, ""},
                       {StoreStatus::Answered, {{"b", "1", 4}}, false, 7, ""}};
  this->Follower.step(this->Store, 0);
  this->Follower.step(this->Store, 0);
  EXPECT_EQ(this->Store.WatchesAfter, std::vector<std::uint64_t>{7});
}

// The first read costs a page for every 50 searchers on each VM that starts.
TEST_F(StoreFollowerTest, OnlyTheFirstReadMayBeStale) {
  this->readAll(10);
  this->Store.Watches.push_back({StoreStatus::HistoryLost, {}, 0, ""});
  this->Follower.step(this->Store, 0);
  this->readAll(20);
  EXPECT_EQ(this->Store.Ages,
            (std::vector{ReadAge::MayBeStale, ReadAge::Newest}));
}

// A watch that is never answered holds up everything for its whole length: with
// 20 s a version was 5 s overdue.
TEST_F(StoreFollowerTest, WatchEndsSoonEnoughForConfigurationToApply) {
  this->readAll(10);
  this->Follower.step(this->Store, 0);
  EXPECT_LE(this->Store.LongestWait, milliseconds(2'000));
}

TEST_F(StoreFollowerTest, ChangesThatFollowEachOtherAreGathered) {
  this->readAll(10);
  this->Store.Watches = {
      {StoreStatus::Answered, {{{"a", "2", 11}, false}}, 11, ""},
      {StoreStatus::Answered, {}, 11, ""}};
  EXPECT_GE(this->Follower.step(this->Store, 0), milliseconds(300));
  EXPECT_EQ(this->Changes, 1U);
  EXPECT_EQ(this->Follower.step(this->Store, 0), milliseconds(0));
}

TEST_F(StoreFollowerTest, LostHistoryIsReadAgainAtOnce) {
  this->readAll(10);
  this->Store.Watches = {{StoreStatus::HistoryLost, {}, 0, ""}};
  EXPECT_EQ(this->Follower.step(this->Store, 0), milliseconds(0));
  EXPECT_EQ(this->Losses, 1);
  this->readAll(20);
  EXPECT_EQ(this->Snapshots.size(), 2U);
}

// Waiting calls may be cut without harm to the store.
TEST_F(StoreFollowerTest, OneFailedCallIsNoOutage) {
  this->readAll(10);
  this->Follower.step(this->Store, 0);
  EXPECT_EQ(this->Outages, 0);
  this->Follower.step(this->Store, 0);
  EXPECT_EQ(this->Outages, 1);
  this->Follower.step(this->Store, 0);
  EXPECT_EQ(this->Outages, 1);
  this->Store.Watches = {{StoreStatus::Answered, {}, 10, ""}};
  this->Follower.step(this->Store, 0);
  EXPECT_EQ(this->Returns, 1);
}

// Refused calls are charged, too.
TEST_F(StoreFollowerTest, FailedCallsAreSpacedOutToASecond) {
  milliseconds Longest{0};
  for (int I = 0; I < 10; ++I) {
    const milliseconds Wait = this->Follower.step(this->Store, 0);
    EXPECT_GE(Wait, milliseconds(50));
    Longest = std::max(Longest, Wait);
  }
  EXPECT_GE(Longest, milliseconds(500));
  EXPECT_LE(Longest, milliseconds(1'000));
}

} // namespace acaciacross::discovery
