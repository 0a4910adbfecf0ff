#include "Discovery/PublishedState.h"

#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

#include <fcntl.h>

namespace acaciacross::discovery {

using std::chrono::milliseconds;

/// "searcher", "draining", "bad" or "version:N".
class WordDecoder final : public ItemDecoder {
public:
  PublishedItem decode(const StoreItem &Item) const override {
    PublishedItem Said;
    if (Item.Value == "bad") {
      Said.Problem = "bad";
    } else if (Item.Value.starts_with("version:")) {
      Said.Table = std::make_shared<const forwarding::RoutingTable>(
          std::stoul(Item.Value.substr(8)), std::vector<forwarding::Route>(),
          std::map<common::ServiceName, unsigned>(),
          forwarding::CallerLimits());
    } else {
      forwarding::SearcherEntry Entry;
      Entry.Id = common::SearcherId(Item.Key);
      Entry.IsDraining = Item.Value == "draining";
      Said.Searcher = Entry;
    }
    return Said;
  }
};

class PublishedStateTest : public testing::Test {
protected:
  void change(const std::string &Key, const std::string &Value) {
    this->State.onChanges({{{Key, Value, ++this->Revision}, false}},
                          this->Revision);
  }

  void remove(const std::string &Key) {
    this->State.onChanges({{{Key, "", ++this->Revision}, true}},
                          this->Revision);
  }

  std::size_t listed() const { return this->State.searchers().size(); }

  void outage() {
    this->State.onUnavailable("test");
    this->Time.advance(milliseconds(5'000));
    this->State.onAvailable();
  }

  testsupport::ManualClock Time;
  WordDecoder Decoder;
  logging::EventLog Log{this->Time, ::open("/dev/null", O_WRONLY)};
  PublishedState State{this->Decoder, this->Time, this->Log};
  std::uint64_t Revision = 0;
};

// A late or stale answer must not bring back an older version.
TEST_F(PublishedStateTest, VersionsNeverGoBack) {
  this->change("routes", "version:7");
  this->change("routes", "version:6");
  EXPECT_EQ(this->State.table()->version(), 7U);
  this->State.onSnapshot({{"routes", "version:5", 1}}, 1);
  EXPECT_EQ(this->State.table()->version(), 7U);
}

TEST_F(PublishedStateTest, RemovedEntryIsGoneAtOnce) {
  this->change("a", "searcher");
  this->remove("a");
  EXPECT_EQ(this->listed(), 0U);
}

// Entries lapse while the store is away although their searchers live; without
// the wait all searchers would be lost at the store's return.
TEST_F(PublishedStateTest, EntryLapsedDuringOutageIsKeptUntilItMayBeBack) {
  this->change("a", "searcher");
  this->outage();
  this->remove("a");
  EXPECT_EQ(this->listed(), 1U);
  this->Time.advance(milliseconds(2'300));
  this->State.expire();
  EXPECT_EQ(this->listed(), 0U);
}

TEST_F(PublishedStateTest, EntryThatIsBackAfterAnOutageStays) {
  this->change("a", "searcher");
  this->outage();
  this->remove("a");
  this->change("a", "searcher");
  this->Time.advance(milliseconds(2'300));
  this->State.expire();
  EXPECT_EQ(this->listed(), 1U);
}

TEST_F(PublishedStateTest, DrainingEntryIsNotKeptAfterAnOutage) {
  this->change("a", "draining");
  this->outage();
  this->remove("a");
  EXPECT_EQ(this->listed(), 0U);
}

TEST_F(PublishedStateTest, SnapshotDropsWhatIsNoLongerThere) {
  this->change("a", "searcher");
  this->change("b", "searcher");
  this->State.onSnapshot({{"b", "searcher", 2}}, 9);
  ASSERT_EQ(this->listed(), 1U);
  EXPECT_EQ(this->State.searchers().front().Id.Value, "b");
}

// One writer of bad entries must not take the others down.
TEST_F(PublishedStateTest, MalformedEntryNamesNoSearcherAndTheOthersHold) {
  this->change("a", "searcher");
  this->change("b", "searcher");
  this->change("a", "bad");
  ASSERT_EQ(this->listed(), 1U);
  EXPECT_EQ(this->State.searchers().front().Id.Value, "b");
}

// Changes also come from peers, in any order.
TEST_F(PublishedStateTest, OlderChangeDoesNotBringBackWhatWasRemoved) {
  this->change("a", "searcher");
  this->State.onChanges({{{"a", "", 9}, true}}, 9);
  this->State.onChanges({{{"a", "searcher", 8}, false}}, 8);
  EXPECT_EQ(this->listed(), 0U);
  EXPECT_EQ(this->State.revision(), 9U);
}

TEST_F(PublishedStateTest, ChangesAfterARevisionHoldRemovalsOldestFirst) {
  this->change("a", "searcher");
  this->change("b", "searcher");
  this->remove("a");
  const auto After = this->State.changesAfter(1);
  ASSERT_EQ(After.size(), 2U);
  EXPECT_EQ(After[0].Item.Key, "b");
  EXPECT_EQ(After[1].Item.Key, "a");
  EXPECT_TRUE(After[1].IsRemoval);
  EXPECT_TRUE(this->State.changesAfter(3).empty());
}

// A peer that read the store a moment earlier kept a searcher for good that was
// removed between the two reads.
TEST_F(PublishedStateTest, RemovalsBeforeASnapshotAreNotKnown) {
  this->State.onSnapshot({{"a", "searcher", 3}}, 9);
  EXPECT_FALSE(this->State.knowsRemovalsAfter(8));
  EXPECT_TRUE(this->State.knowsRemovalsAfter(9));
}

TEST_F(PublishedStateTest, ItemsAreWhatIsPublishedAndNotWhatWasRemoved) {
  this->change("a", "searcher");
  this->change("b", "searcher");
  this->remove("a");
  const auto Items = this->State.items();
  ASSERT_EQ(Items.size(), 1U);
  EXPECT_EQ(Items[0].Key, "b");
}

TEST_F(PublishedStateTest, RepeatedEntryIsNoChange) {
  this->change("a", "searcher");
  const std::uint64_t Before = this->State.changes();
  this->change("a", "searcher");
  EXPECT_EQ(this->State.changes(), Before);
}

} // namespace acaciacross::discovery
