#include "Discovery/PublishedState.h"

#include "FakeDecoder.h"

#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

#include <fcntl.h>

namespace acaciacross::discovery {

using std::chrono::milliseconds;

class PublishedStateTest : public testing::Test {
protected:
  void change(const std::string &Key, const std::string &Value) {
    ++this->Revision;
    this->State.onChanges({{{Key, Value, this->Revision}, false}},
                          this->Revision);
  }

  void remove(const std::string &Key) {
    ++this->Revision;
    this->State.onChanges({{{Key, "", this->Revision}, true}}, this->Revision);
  }

  std::size_t searcherCount() const { return this->State.searchers().size(); }

  void simulateOutage() {
    this->State.onUnavailable("test");
    this->Time.advance(milliseconds(5'000));
    this->State.onAvailable();
  }

  testsupport::ManualClock Time;
  FakeDecoder Decoder;
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

// A VM that starts takes a complete list from a peer, and then its own stale
// first read of the store, in which a removed searcher is still present.
TEST_F(PublishedStateTest, StaleSnapshotDoesNotRestoreAnEntryRemovedBefore) {
  this->State.onSnapshot({{"a", "searcher", 3}}, 9);
  this->State.onSnapshot({{"a", "searcher", 3}, {"b", "searcher", 4}}, 5);
  EXPECT_EQ(this->searcherCount(), 1U);
  EXPECT_EQ(this->State.position(), 9U);
  this->State.onSnapshot({{"a", "searcher", 3}, {"c", "searcher", 10}}, 10);
  EXPECT_EQ(this->searcherCount(), 2U);
}

// The record of a removal may be pruned before a late change arrives.
TEST_F(PublishedStateTest, LateChangeDoesNotRestoreAnEntryRemovedBefore) {
  this->State.onSnapshot({{"a", "searcher", 3}}, 9);
  this->State.onChanges({{{"b", "searcher", 8}, false}}, 8);
  EXPECT_EQ(this->searcherCount(), 1U);
  this->State.onChanges(
      {{{"b", "searcher", 10}, false}, {{"c", "searcher", 11}, false}}, 11);
  EXPECT_EQ(this->searcherCount(), 3U);
}

// A pull from a slow peer ended after this VM had read everything itself. The
// removal was known only by the absence of the key, and its record was older.
TEST_F(PublishedStateTest, LateCompleteListDoesNotRestoreAnEntryRemovedBefore) {
  this->State.onSnapshot({{"a", "searcher", 3}, {"b", "searcher", 4}}, 6);
  this->State.onChanges({{{"b", "", 7}, true}}, 7);
  this->State.onSnapshot({{"a", "searcher", 3}}, 20);
  this->State.apply(
      {{{{"a", "searcher", 3}, false}, {{"b", "searcher", 8}, false}},
       true,
       9});
  EXPECT_EQ(this->searcherCount(), 1U);
}

// Without a complete list, an unknown key may be one that was never received.
TEST_F(PublishedStateTest, ChangesBeforeTheFirstSnapshotDoNotHideItsEntries) {
  this->State.onChanges({{{"a", "searcher", 7}, false}}, 7);
  this->State.onSnapshot({{"a", "searcher", 7}, {"b", "searcher", 2}}, 7);
  EXPECT_EQ(this->searcherCount(), 2U);
}

// While the store is available a removed searcher must not be retained.
TEST_F(PublishedStateTest, RemovedEntryIsDroppedAtOnce) {
  this->change("a", "searcher");
  this->remove("a");
  EXPECT_EQ(this->searcherCount(), 0U);
}

// Entries of live searchers expire while the store is unavailable; if they were
// not retained, all searchers would be lost when the store is available again.
TEST_F(PublishedStateTest,
       EntryExpiredDuringOutageIsRetainedUntilSearchersCanReregister) {
  this->change("a", "searcher");
  this->simulateOutage();
  this->remove("a");
  EXPECT_EQ(this->searcherCount(), 1U);
  this->Time.advance(milliseconds(2'300));
  this->State.expire();
  EXPECT_EQ(this->searcherCount(), 0U);
}

// A VM that calls the store seldom during an outage hears of its end from a
// peer, before the removals of entries that have expired.
TEST_F(PublishedStateTest, EntryIsRetainedWhenAPeerReportsTheEndOfAnOutage) {
  this->change("a", "searcher");
  this->State.onUnavailable("test");
  this->State.onPeerAnswered(this->Time.monotonicNow() - milliseconds(1));
  this->Time.advance(milliseconds(5'000));
  this->State.onPeerAnswered(this->Time.monotonicNow());
  this->remove("a");
  EXPECT_EQ(this->searcherCount(), 1U);
  this->Time.advance(milliseconds(2'300));
  this->State.expire();
  EXPECT_EQ(this->searcherCount(), 0U);
}

// A peer may pass on the removals of expired entries before this VM hears that
// the store is back. A VM dropped 34 searchers at once that way.
TEST_F(PublishedStateTest, EntryRemovedInAnOutageIsRetainedUntilAfterItsEnd) {
  this->change("a", "searcher");
  this->State.onUnavailable("test");
  this->Time.advance(milliseconds(5'000));
  this->remove("a");
  this->Time.advance(milliseconds(5'000));
  this->State.expire();
  EXPECT_EQ(this->searcherCount(), 1U);
  this->State.onAvailable();
  this->Time.advance(milliseconds(2'100));
  this->State.expire();
  EXPECT_EQ(this->searcherCount(), 1U);
  this->Time.advance(milliseconds(200));
  this->State.expire();
  EXPECT_EQ(this->searcherCount(), 0U);
}

// Its own call may be answered much later. A searcher that leaves by then must
// not be retained.
TEST_F(PublishedStateTest, EndOfAnOutageCountsOnce) {
  this->change("a", "searcher");
  this->State.onUnavailable("test");
  this->Time.advance(milliseconds(5'000));
  this->State.onPeerAnswered(this->Time.monotonicNow());
  this->Time.advance(milliseconds(10'000));
  this->State.onAvailable();
  this->remove("a");
  EXPECT_EQ(this->searcherCount(), 0U);
}

// The end of the retention time must not drop an entry that was registered
// again.
TEST_F(PublishedStateTest, EntryRegisteredAgainAfterAnOutageIsKept) {
  this->change("a", "searcher");
  this->simulateOutage();
  this->remove("a");
  this->change("a", "searcher");
  this->Time.advance(milliseconds(2'300));
  this->State.expire();
  EXPECT_EQ(this->searcherCount(), 1U);
}

// A draining searcher does not register again, so requests to it would fail.
TEST_F(PublishedStateTest, DrainingEntryIsNotRetainedAfterAnOutage) {
  this->change("a", "draining");
  this->simulateOutage();
  this->remove("a");
  EXPECT_EQ(this->searcherCount(), 0U);
}

// Removals that this VM missed would otherwise leave searchers in use forever.
TEST_F(PublishedStateTest, SnapshotRemovesMissingEntries) {
  this->change("a", "searcher");
  this->change("b", "searcher");
  this->State.onSnapshot({{"b", "searcher", 2}}, 9);
  ASSERT_EQ(this->searcherCount(), 1U);
  EXPECT_EQ(this->State.searchers().front().Id.Value, "b");
}

// One malformed entry must not affect the others.
TEST_F(PublishedStateTest, MalformedEntryDropsOnlyItsOwnSearcher) {
  this->change("a", "searcher");
  this->change("b", "searcher");
  this->change("a", "bad");
  ASSERT_EQ(this->searcherCount(), 1U);
  EXPECT_EQ(this->State.searchers().front().Id.Value, "b");
}

// A value that no VM can use, for example a very large one, must not travel
// further: the transfer of all other values to a peer could fail with it.
TEST_F(PublishedStateTest, PeersAreToldOfAMalformedEntryAsARemoval) {
  this->change("a", "searcher");
  this->change("a", "bad");
  this->change("b", "searcher");
  const auto Changes = this->State.changesAfter(0);
  ASSERT_EQ(Changes.size(), 2U);
  EXPECT_TRUE(Changes[0].IsRemoval);
  EXPECT_EQ(Changes[0].Item.Value, "");
  EXPECT_EQ(this->State.items().size(), 1U);
}

TEST_F(PublishedStateTest, EntryIsUsedAgainOnceItIsValid) {
  this->change("a", "bad");
  this->change("a", "searcher");
  EXPECT_EQ(this->searcherCount(), 1U);
  EXPECT_EQ(this->State.items().size(), 1U);
}

// Other programs may write keys and values of any number and size.
TEST_F(PublishedStateTest, KeysOfOtherProgramsAreNeitherKeptNorPassedOn) {
  this->change("other/a", "anything");
  this->remove("other/b");
  EXPECT_TRUE(this->State.changesAfter(0).empty());
  EXPECT_TRUE(this->State.items().empty());
  EXPECT_EQ(this->State.position(), 2U);
}

// An entry is written again about once a second; its problem is logged once.
TEST_F(PublishedStateTest, ProblemOfAnEntryIsLoggedOnce) {
  for (int I = 0; I < 5; ++I)
    this->change("a", "bad");
  EXPECT_EQ(this->Log.count(common::LogEvent::EntryMalformed), 1U);
  this->change("a", "searcher");
  this->change("a", "bad");
  EXPECT_EQ(this->Log.count(common::LogEvent::EntryMalformed), 2U);
}

// Changes also come from peers, in any order; an older one must not restore a
// removed entry.
TEST_F(PublishedStateTest, OlderChangeDoesNotBringBackWhatWasRemoved) {
  this->change("a", "searcher");
  this->State.onChanges({{{"a", "", 9}, true}}, 9);
  this->State.onChanges({{{"a", "searcher", 8}, false}}, 8);
  EXPECT_EQ(this->searcherCount(), 0U);
  EXPECT_EQ(this->State.position(), 9U);
}

// A peer that does not receive a removal would keep the searcher.
TEST_F(PublishedStateTest, ChangesAfterARevisionIncludeRemovalsOldestFirst) {
  this->change("a", "searcher");
  this->change("b", "searcher");
  this->remove("a");
  const auto Changes = this->State.changesAfter(1);
  ASSERT_EQ(Changes.size(), 2U);
  EXPECT_EQ(Changes[0].Item.Key, "b");
  EXPECT_EQ(Changes[1].Item.Key, "a");
  EXPECT_TRUE(Changes[1].IsRemoval);
  EXPECT_TRUE(this->State.changesAfter(3).empty());
}

// A peer that read the store slightly earlier would keep a searcher forever
// that was removed between the two reads.
TEST_F(PublishedStateTest, RemovalsBeforeASnapshotAreNotKnown) {
  this->State.onSnapshot({{"a", "searcher", 3}}, 9);
  EXPECT_FALSE(this->State.knowsRemovalsAfter(8));
  EXPECT_TRUE(this->State.knowsRemovalsAfter(9));
}

// The second page of a read was newer than the first. A peer took the revision
// of its items for known, missed the version between the pages, and kept the
// older one.
TEST_F(PublishedStateTest,
       ItemsNewerThanTheKnownRevisionAreNotPassedOnAsKnown) {
  PublishedState Peer{this->Decoder, this->Time, this->Log};
  for (PublishedState *Each : {&this->State, &Peer})
    Each->onSnapshot({{"routes", "version:1", 1}}, 6);
  this->State.onSnapshot({{"routes", "version:1", 1}, {"z", "searcher", 9}}, 6);
  this->State.onChanges({{{"a", "searcher", 7}, false}}, 7);
  Peer.apply(this->State.changesSince(Peer.position()));
  EXPECT_EQ(Peer.position(), 7U);
  this->State.onChanges({{{"routes", "version:2", 8}, false}}, 9);
  Peer.apply(this->State.changesSince(Peer.position()));
  EXPECT_EQ(Peer.position(), 9U);
  EXPECT_EQ(Peer.table()->version(), 2U);
}

// A peer that receives all items must not receive removed ones.
TEST_F(PublishedStateTest, ItemsLeaveOutRemovedKeys) {
  this->change("a", "searcher");
  this->change("b", "searcher");
  this->remove("a");
  const auto Items = this->State.items();
  ASSERT_EQ(Items.size(), 1U);
  EXPECT_EQ(Items[0].Key, "b");
}

// An unchanged entry must not cause a new view on the traffic threads.
TEST_F(PublishedStateTest, RepeatedEntryIsNotCountedAsAChange) {
  this->change("a", "searcher");
  const std::uint64_t Before = this->State.changes();
  this->change("a", "searcher");
  EXPECT_EQ(this->State.changes(), Before);
}

} // namespace acaciacross::discovery
