#include "Fleet/PublishedStateExchange.h"

#include "Common/SystemClock.h"
#include "Discovery/ItemDecoder.h"
#include "TestSupport/FindFreeAddress.h"

#include <gtest/gtest.h>

#include <ace/Dev_Poll_Reactor.h>
#include <ace/INET_Addr.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Acceptor.h>
#include <fcntl.h>

#include <functional>
#include <memory>

namespace acaciacross::fleet {

/// Decodes every item as a searcher with the key as its id.
class IdDecoder final : public discovery::ItemDecoder {
public:
  bool isUsed(const std::string &) const override { return true; }

  discovery::PublishedItem
  decode(const discovery::StoreItem &Item) const override {
    discovery::PublishedItem Decoded;
    Decoded.Searcher.emplace();
    Decoded.Searcher->Id = common::SearcherId(Item.Key);
    return Decoded;
  }
};

/// Two VMs that exchange their published state over loopback.
class PublishedStateExchangeTest : public testing::Test,
                                   private PublishedStateListener {
protected:
  void onPublishedStateChanged() override {
    this->PositionTold = this->Second.position();
  }

  /// Reports the revision of the first VM to the second one. Returns false if
  /// the second does not reach it within ten seconds.
  bool updateSecond() {
    membership::MemberStatus Status;
    Status.PositionInEffect = this->First.position();
    this->SecondExchange.onPeerStatus(this->FirstAddress, Status);
    const auto End = this->Time.monotonicNow() + std::chrono::seconds(10);
    while (this->Second.position() < this->First.position() &&
           this->Time.monotonicNow() < End) {
      ACE_Time_Value Wait(0, 10'000);
      this->Events.handle_events(Wait);
    }
    return this->Second.position() >= this->First.position();
  }

  common::SystemClock Time;
  ACE_Reactor Events{new ACE_Dev_Poll_Reactor(), true};
  logging::EventLog Log{this->Time, ::open("/dev/null", O_WRONLY)};
  IdDecoder Decoder;
  discovery::PublishedState First{this->Decoder, this->Time, this->Log};
  discovery::PublishedState Second{this->Decoder, this->Time, this->Log};
  common::Address FirstAddress = testsupport::findFreeAddress();
  PublishedStateExchange FirstExchange{
      this->FirstAddress, this->Events, this->Time,
      this->First,        *this,        this->Log};
  PublishedStateExchange SecondExchange{testsupport::findFreeAddress(),
                                        this->Events,
                                        this->Time,
                                        this->Second,
                                        *this,
                                        this->Log};
  common::StorePosition PositionTold;
};

// The store may be unavailable when a VM starts; without state from its peers,
// the VM would refuse all requests until the store is available.
TEST_F(PublishedStateExchangeTest, VmWithoutASnapshotGetsAllItemsFromAPeer) {
  this->First.onSnapshot({{"a", "x", 3}, {"b", "x", 7}}, 9);
  ASSERT_TRUE(this->updateSecond());
  EXPECT_TRUE(this->Second.hasSnapshot());
  EXPECT_EQ(this->Second.searchers().size(), 2U);
}

// The second VM reads "b" before its removal, the first one after it. The first
// VM does not know "b", so it cannot report the removal, and the second one
// would send requests to "b" forever.
TEST_F(PublishedStateExchangeTest,
       RemovalBetweenTheFirstReadsOfTwoVmsReachesTheSecond) {
  this->Second.onSnapshot({{"a", "x", 3}, {"b", "x", 4}}, 5);
  this->First.onSnapshot({{"a", "x", 3}, {"c", "x", 8}}, 9);
  ASSERT_TRUE(this->updateSecond());
  const auto Searchers = this->Second.searchers();
  ASSERT_EQ(Searchers.size(), 2U);
  EXPECT_EQ(Searchers[0].Id.Value, "a");
  EXPECT_EQ(Searchers[1].Id.Value, "c");
}

// The traffic thread got pulled changes with the next tick only, up to 200 ms
// later.
TEST_F(PublishedStateExchangeTest, PulledChangesAreToldAtOnce) {
  this->First.onSnapshot({{"a", "x", 3}}, 9);
  ASSERT_TRUE(this->updateSecond());
  EXPECT_EQ(this->PositionTold, 9U);
}

// A VM pulled a version from a peer that froze in that moment, and asked no
// other one for 3 s: the version was in force too late.
TEST_F(PublishedStateExchangeTest, SilentPeerDoesNotKeepChangesOfOthersBack) {
  const common::Address SilentAddress = testsupport::findFreeAddress();
  ACE_SOCK_Acceptor Silent(
      ACE_INET_Addr(SilentAddress.Port, SilentAddress.Host.c_str()));
  membership::MemberStatus Status;
  Status.PositionInEffect = 9;
  this->SecondExchange.onPeerStatus(SilentAddress, Status);
  this->First.onSnapshot({{"a", "x", 3}}, 9);
  const auto Start = this->Time.monotonicNow();
  while (this->Second.position() < 9 &&
         this->Time.monotonicNow() < Start + std::chrono::seconds(10)) {
    this->SecondExchange.onPeerStatus(this->FirstAddress, Status);
    ACE_Time_Value Wait(0, 10'000);
    this->Events.handle_events(Wait);
  }
  EXPECT_LT(this->Time.monotonicNow() - Start, std::chrono::seconds(2));
}

// Sending all items in each round would exceed the budget of control messages.
TEST_F(PublishedStateExchangeTest, VmThatMissedOneChangeGetsOnlyThatChange) {
  for (discovery::PublishedState *State : {&this->First, &this->Second})
    State->onSnapshot({{"a", "x", 3}}, 5);
  this->First.onChanges({{{"b", "x", 6}, false}}, 6);
  this->First.onChanges({{{"a", "", 7}, true}}, 7);
  ASSERT_TRUE(this->updateSecond());
  EXPECT_TRUE(this->Second.knowsRemovalsAfter(5)) << "it received all items";
  const auto Searchers = this->Second.searchers();
  ASSERT_EQ(Searchers.size(), 1U);
  EXPECT_EQ(Searchers[0].Id.Value, "b");
}

} // namespace acaciacross::fleet
