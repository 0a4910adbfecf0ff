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

  ExecutionLog Log{10};
  SearcherState Searcher{settings(), Log};
};

// Guards against a dropped snapshot whose shards are lost for good.
TEST_F(SearcherStateTest, DroppedSnapshotIsHeldAgainAfterItWasAdded) {
  EXPECT_TRUE(this->Searcher.setFault("drop_snapshot", "s1"));
  EXPECT_EQ(this->Searcher.availability("s1", 0),
            SearcherState::Availability::NoSnapshot);
  EXPECT_TRUE(this->Searcher.setFault("add_snapshot", "s1"));
  EXPECT_EQ(this->Searcher.availability("s1", 0),
            SearcherState::Availability::Loaded);
  EXPECT_EQ(this->Searcher.availability("s1", 1),
            SearcherState::Availability::NoShard);
}

// Guards against a test that misspells a fault and passes without its effect.
TEST_F(SearcherStateTest, UnknownFaultIsRefused) {
  EXPECT_FALSE(this->Searcher.setFault("slow", "2"));
  EXPECT_FALSE(this->Searcher.setFault("hang", "yes"));
}

// Guards against a frozen page that follows the searcher, or stays frozen after
// the fault is switched off.
TEST_F(SearcherStateTest, FrozenHealthPageHidesADrain) {
  this->Searcher.setFault("freeze_health", "1");
  this->Searcher.setFault("drain", "1");
  const auto Now = std::chrono::steady_clock::now();
  EXPECT_EQ(this->Searcher.pages().health(Now).Status, "serving");
  this->Searcher.setFault("freeze_health", "0");
  EXPECT_EQ(this->Searcher.pages().health(Now).Status, "leaving");
}

// Guards against a searcher that accepts more connections than its cap allows.
TEST_F(SearcherStateTest, ConnectionOverTheCapIsRefusedAndCounted) {
  EXPECT_TRUE(this->Searcher.connections().admitConnection());
  EXPECT_FALSE(this->Searcher.connections().admitConnection());
  EXPECT_EQ(this->Searcher.counters().ConnectionsRefused, 1U);
}

} // namespace acaciacross::standins
