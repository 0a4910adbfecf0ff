#include "Discovery/PublishedState.h"

#include "FakeDecoder.h"

#include "Discovery/StoreReadPolicy.h"

#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

#include <fcntl.h>

namespace acaciacross::discovery {

using common::StorePosition;
using std::chrono::milliseconds;

/// A VM that knows the store up to revision 40 of era 1.
class StoreEraTest : public testing::Test {
protected:
  void SetUp() override {
    this->State.onSnapshot({{"a", "searcher:1:5", {1, 30}},
                            {"b", "searcher:1:5", {1, 38}},
                            {"routes", "version:4", {1, 40}}},
                           {1, 40});
  }

  /// The copy is from before "b" and version 4.
  void returnFromCopy() {
    this->State.onSnapshot(
        {{"a", "searcher:1:5", {2, 30}}, {"routes", "version:3", {2, 10}}},
        {2, 31});
  }

  std::size_t searcherCount() const { return this->State.searchers().size(); }

  testsupport::ManualClock Time;
  FakeDecoder Decoder;
  logging::EventLog Log{this->Time, ::open("/dev/null", O_WRONLY)};
  PublishedState State{this->Decoder, this->Time, this->Log};
};

// Three VMs kept version 4 for 21 s after version 5 was confirmed: its revision
// was below the one that they knew.
TEST_F(StoreEraTest, NewerVersionOfANewEraIsInEffect) {
  this->returnFromCopy();
  EXPECT_EQ(this->State.table()->version(), 4U) << "it was lost, but holds";
  this->State.onChanges({{{"routes", "version:4", {2, 32}}, false}}, {2, 32});
  this->State.onChanges({{{"routes", "version:5", {2, 33}}, false}}, {2, 33});
  EXPECT_EQ(this->State.table()->version(), 5U);
  EXPECT_EQ(this->State.position(), StorePosition(2, 33));
  EXPECT_EQ(this->Log.count(common::LogEvent::StoreEraChanged), 1U);
}

// A peer of the new era took itself for less informed than this VM, and this VM
// took the peer's answer for its own.
TEST_F(StoreEraTest, AnswerOfAPeerInANewerEraDoesNotCountAsOwn) {
  StoreReadPolicy Policy{milliseconds(3'000)};
  const common::MonotonicTime Now = this->Time.monotonicNow();
  Policy.recordPeerAnswer(Now, {2, 31}, this->State.position());
  EXPECT_GT(Policy.answerAge(Now), milliseconds(0));
}

// Changes leave out what the copy has lost.
TEST_F(StoreEraTest, NewEraBeginsWithACompleteListOnly) {
  this->State.onChanges({{{"a", "", {2, 32}}, true}}, {2, 32});
  EXPECT_EQ(this->State.position(), StorePosition(1, 40));
  EXPECT_EQ(this->searcherCount(), 2U);
}

TEST_F(StoreEraTest, PeerInAnOlderEraGetsAllItemsAndWhatWasKept) {
  this->returnFromCopy();
  const PublishedChanges Reply = this->State.changesSince({1, 40});
  EXPECT_TRUE(Reply.IsComplete);
  EXPECT_EQ(Reply.Position, StorePosition(2, 31));
  PublishedState Starting{this->Decoder, this->Time, this->Log};
  Starting.apply(Reply);
  ASSERT_NE(Starting.table(), nullptr);
  EXPECT_EQ(Starting.table()->version(), 4U);
}

// A peer that was frozen over the drill tells the old era; its list and its
// removals would undo the new one.
TEST_F(StoreEraTest, MessagesOfAnOlderEraChangeNothing) {
  PublishedState Frozen{this->Decoder, this->Time, this->Log};
  Frozen.apply(this->State.changesSince(0));
  Frozen.onChanges(
      {{{"a", "", {1, 41}}, true}, {{"c", "searcher", {1, 42}}, false}},
      {1, 42});
  this->returnFromCopy();
  this->State.apply(Frozen.changesSince(0));
  this->State.apply(Frozen.changesSince({1, 40}));
  EXPECT_EQ(this->State.position(), StorePosition(2, 31));
  EXPECT_EQ(this->searcherCount(), 2U);
}

// Entries of the lost seconds are written again within 2 s; without them a
// service may have no searcher.
TEST_F(StoreEraTest, EntryThatTheNewEraDoesNotListIsRetainedAndThenDropped) {
  this->returnFromCopy();
  EXPECT_EQ(this->searcherCount(), 2U);
  this->Time.advance(milliseconds(2'300));
  this->State.expire();
  EXPECT_EQ(this->searcherCount(), 1U);
  this->State.onChanges({{{"b", "searcher:1:5", {2, 32}}, false}}, {2, 32});
  EXPECT_EQ(this->searcherCount(), 2U);
}

// The copy lists a searcher that left, and one that drains as ready.
TEST_F(StoreEraTest, SearcherThatLeftOrDrainsDoesNotReturnWithTheCopy) {
  this->State.onChanges(
      {{{"a", "draining:1:6", {1, 41}}, false}, {{"b", "", {1, 42}}, true}},
      {1, 42});
  this->State.onSnapshot(
      {{"a", "searcher:1:5", {2, 30}}, {"b", "searcher:1:5", {2, 38}}},
      {2, 39});
  ASSERT_EQ(this->searcherCount(), 1U);
  EXPECT_TRUE(this->State.searchers().front().IsDraining);
  EXPECT_EQ(this->State.table()->version(), 4U);
  this->State.onChanges({{{"a", "searcher:2:1", {2, 40}}, false},
                         {{"b", "searcher:1:7", {2, 41}}, false}},
                        {2, 41});
  ASSERT_EQ(this->searcherCount(), 2U);
  EXPECT_FALSE(this->State.searchers().front().IsDraining);
}

// Two drills in a row: a VM may see the second return only.
TEST_F(StoreEraTest, EraThatWasNeverSeenIsSkipped) {
  this->State.onSnapshot({{"routes", "version:5", {3, 5}}}, {3, 5});
  EXPECT_EQ(this->State.table()->version(), 5U);
  this->returnFromCopy();
  EXPECT_EQ(this->State.position(), StorePosition(3, 5));
}

} // namespace acaciacross::discovery
