#include "StandIns/Searcher/SearcherState.h"

#include <gtest/gtest.h>

namespace acaciacross::standins {

class SearcherStateTest : public testing::Test {
protected:
  static SearcherSettings settings() {
    SearcherSettings Settings;
    Settings.Id = "a";
    Settings.Snapshots = {{"s1", {{0, {0, 10}}}}};
    return Settings;
  }

  ExecutionRecord Record{10};
  SearcherState Searcher{settings(), Record};
};

TEST_F(SearcherStateTest, DroppedSnapshotIsHeldAgainAfterItWasAdded) {
  EXPECT_TRUE(this->Searcher.setFault("drop_snapshot", "s1"));
  EXPECT_EQ(this->Searcher.holds("s1", 0), SearcherState::Holding::NoSnapshot);
  EXPECT_TRUE(this->Searcher.setFault("add_snapshot", "s1"));
  EXPECT_EQ(this->Searcher.holds("s1", 0), SearcherState::Holding::Held);
  EXPECT_EQ(this->Searcher.holds("s1", 1), SearcherState::Holding::NoShard);
}

// A test that misspells a fault would pass without having tested anything.
TEST_F(SearcherStateTest, UnknownFaultIsRefused) {
  EXPECT_FALSE(this->Searcher.setFault("slow", "2"));
  EXPECT_FALSE(this->Searcher.setFault("hang", "yes"));
}

TEST_F(SearcherStateTest, FrozenHealthPageHidesADrain) {
  this->Searcher.setFault("freeze_health", "1");
  this->Searcher.setFault("drain", "1");
  const auto Now = std::chrono::steady_clock::now();
  EXPECT_EQ(this->Searcher.pages().health(Now).Status, "serving");
  this->Searcher.setFault("freeze_health", "0");
  EXPECT_EQ(this->Searcher.pages().health(Now).Status, "leaving");
}

TEST_F(SearcherStateTest, ConnectionOverTheCapIsRefusedAndCounted) {
  EXPECT_TRUE(this->Searcher.connections().connectionOpened());
  EXPECT_FALSE(this->Searcher.connections().connectionOpened());
  EXPECT_EQ(this->Searcher.counters().ConnectionsRefused, 1U);
}

} // namespace acaciacross::standins
