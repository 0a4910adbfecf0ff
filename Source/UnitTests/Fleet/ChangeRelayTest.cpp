#include "Fleet/ChangeRelay.h"

#include "Common/SystemClock.h"
#include "Discovery/ItemDecoder.h"
#include "TestSupport/FreeAddress.h"

#include <gtest/gtest.h>

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Reactor.h>
#include <fcntl.h>

#include <functional>
#include <memory>

namespace acaciacross::fleet {

/// Every item is a searcher of that id.
class IdDecoder final : public discovery::ItemDecoder {
public:
  discovery::PublishedItem
  decode(const discovery::StoreItem &Item) const override {
    discovery::PublishedItem Said;
    Said.Searcher.emplace();
    Said.Searcher->Id = common::SearcherId(Item.Key);
    return Said;
  }
};

/// Two VMs that pass on to each other what they know, over loopback.
class ChangeRelayTest : public testing::Test {
protected:
  /// The first VM tells the second one its revision; false when the second did
  /// not reach it within ten seconds.
  bool tellSecond() {
    membership::MemberStatus Status;
    Status.InEffect = common::Revision(this->First.revision());
    this->SecondRelay.onPeer(this->FirstAddress, Status);
    const auto End = this->Time.monotonicNow() + std::chrono::seconds(10);
    while (this->Second.revision() < this->First.revision() &&
           this->Time.monotonicNow() < End) {
      ACE_Time_Value Wait(0, 10'000);
      this->Events.handle_events(Wait);
    }
    return this->Second.revision() >= this->First.revision();
  }

  common::SystemClock Time;
  ACE_Reactor Events{new ACE_Dev_Poll_Reactor(), true};
  logging::EventLog Log{this->Time, ::open("/dev/null", O_WRONLY)};
  IdDecoder Decoder;
  discovery::PublishedState First{this->Decoder, this->Time, this->Log};
  discovery::PublishedState Second{this->Decoder, this->Time, this->Log};
  common::Address FirstAddress = testsupport::freeAddress();
  ChangeRelay FirstRelay{this->FirstAddress, this->Events, this->Time,
                         this->First, this->Log};
  ChangeRelay SecondRelay{testsupport::freeAddress(), this->Events, this->Time,
                          this->Second, this->Log};
};

// The store may be away when a VM starts; without its peers it would refuse
// everything until the store is back.
TEST_F(ChangeRelayTest, VmThatHasReadNothingGetsEverythingFromAPeer) {
  this->First.onSnapshot({{"a", "x", 3}, {"b", "x", 7}}, 9);
  ASSERT_TRUE(this->tellSecond());
  EXPECT_TRUE(this->Second.hasSnapshot());
  EXPECT_EQ(this->Second.searchers().size(), 2U);
}

// The second VM read "b" before its removal, the first one after it: the first
// never knew of "b", and requests went to it for good.
TEST_F(ChangeRelayTest, RemovalBetweenTheFirstReadsOfTwoVmsIsPassedOn) {
  this->Second.onSnapshot({{"a", "x", 3}, {"b", "x", 4}}, 5);
  this->First.onSnapshot({{"a", "x", 3}, {"c", "x", 8}}, 9);
  ASSERT_TRUE(this->tellSecond());
  const auto Listed = this->Second.searchers();
  ASSERT_EQ(Listed.size(), 2U);
  EXPECT_EQ(Listed[0].Id.Value, "a");
  EXPECT_EQ(Listed[1].Id.Value, "c");
}

// Whole lists in each round would exceed the budget of control messages.
TEST_F(ChangeRelayTest, VmThatMissedOneChangeGetsOnlyThatChange) {
  for (discovery::PublishedState *Each : {&this->First, &this->Second})
    Each->onSnapshot({{"a", "x", 3}}, 5);
  this->First.onChanges({{{"b", "x", 6}, false}}, 6);
  this->First.onChanges({{{"a", "", 7}, true}}, 7);
  ASSERT_TRUE(this->tellSecond());
  EXPECT_TRUE(this->Second.knowsRemovalsAfter(5)) << "it took a whole list";
  const auto Listed = this->Second.searchers();
  ASSERT_EQ(Listed.size(), 1U);
  EXPECT_EQ(Listed[0].Id.Value, "b");
}

} // namespace acaciacross::fleet
