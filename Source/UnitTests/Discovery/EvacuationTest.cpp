#include "Discovery/PublishedState.h"

#include "FakeDecoder.h"

#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

#include <fcntl.h>

namespace acaciacross::discovery {

using std::chrono::milliseconds;
using Domains = std::set<std::string>;

/// Which failure domains a VM holds to be evacuated.
class EvacuationTest : public testing::Test {
protected:
  void evacuate(const std::string &Domain, const std::string &Value = "{}") {
    ++this->Revision;
    this->State.onChanges(
        {{{"evacuate/" + Domain, Value, this->Revision}, false}},
        this->Revision);
  }

  void takeBack(const std::string &Domain) {
    ++this->Revision;
    this->State.onChanges({{{"evacuate/" + Domain, "", this->Revision}, true}},
                          this->Revision);
  }

  void passTime(milliseconds Duration) {
    this->Time.advance(Duration);
    this->State.expire();
  }

  testsupport::ManualClock Time;
  FakeDecoder Decoder;
  logging::EventLog Log{this->Time, ::open("/dev/null", O_WRONLY)};
  PublishedState State{this->Decoder, this->Time, this->Log};
  std::uint64_t Revision = 0;
};

TEST_F(EvacuationTest, DomainIsEvacuatedUntilItsKeyIsRemoved) {
  this->evacuate("z1");
  const std::uint64_t Changes = this->State.changes();
  this->evacuate("z1");
  EXPECT_EQ(this->State.changes(), Changes) << "the same again is no change";
  this->evacuate("z2");
  EXPECT_EQ(this->State.evacuatedDomains(), (Domains{"z1", "z2"}));
  this->takeBack("z1");
  EXPECT_EQ(this->State.evacuatedDomains(), Domains{"z2"});
  EXPECT_EQ(this->State.changes(), Changes + 2);
  EXPECT_EQ(this->Log.count(common::LogEvent::DomainEvacuated), 2U);
  EXPECT_EQ(this->Log.count(common::LogEvent::DomainEvacuationEnded), 1U);
}

TEST_F(EvacuationTest, EvacuationHoldsWhileTheStoreIsAway) {
  this->evacuate("z1");
  this->State.onUnavailable("test");
  this->passTime(milliseconds(3'600'000));
  EXPECT_EQ(this->State.evacuatedDomains(), Domains{"z1"});
  this->State.onAvailable();
  this->passTime(milliseconds(10'000));
  EXPECT_EQ(this->State.evacuatedDomains(), Domains{"z1"});
}

// Nobody can tell during an outage whether the key is gone for good. Requests
// to an evacuated domain do harm, so the safe side is to wait.
TEST_F(EvacuationTest, RemovalInAnOutageEndsTheEvacuationAfterTheOutage) {
  this->evacuate("z1");
  this->State.onUnavailable("test");
  this->takeBack("z1");
  this->passTime(milliseconds(60'000));
  EXPECT_EQ(this->State.evacuatedDomains(), Domains{"z1"});
  this->State.onAvailable();
  this->passTime(milliseconds(2'100));
  EXPECT_EQ(this->State.evacuatedDomains(), Domains{"z1"});
  const std::uint64_t Changes = this->State.changes();
  this->passTime(milliseconds(200));
  EXPECT_EQ(this->State.evacuatedDomains(), Domains{});
  EXPECT_GT(this->State.changes(), Changes);
}

TEST_F(EvacuationTest, KeyThatReturnsAfterAnOutageKeepsTheEvacuation) {
  this->evacuate("z1");
  this->State.onUnavailable("test");
  this->takeBack("z1");
  this->State.onAvailable();
  this->evacuate("z1");
  this->passTime(milliseconds(60'000));
  EXPECT_EQ(this->State.evacuatedDomains(), Domains{"z1"});
}

// A VM that starts during an evacuation must not send anything there, whether
// it reads a stale page or pulls from a peer.
TEST_F(EvacuationTest, FirstSnapshotTellsOfAnEvacuation) {
  this->State.onSnapshot({{"a", "searcher", 3}, {"evacuate/z1", "{}", 4}}, 5);
  EXPECT_EQ(this->State.evacuatedDomains(), Domains{"z1"});
  PublishedState Peer{this->Decoder, this->Time, this->Log};
  Peer.apply(this->State.changesSince(0));
  EXPECT_EQ(Peer.evacuatedDomains(), Domains{"z1"});
}

TEST_F(EvacuationTest, StaleSnapshotNeitherEndsNorRestoresAnEvacuation) {
  this->State.onSnapshot({{"evacuate/z1", "{}", 8}}, 9);
  this->State.onSnapshot({{"evacuate/z2", "{}", 4}}, 5);
  EXPECT_EQ(this->State.evacuatedDomains(), Domains{"z1"});
  this->State.onSnapshot({}, 12);
  this->State.onSnapshot({{"evacuate/z1", "{}", 8}}, 10);
  EXPECT_EQ(this->State.evacuatedDomains(), Domains{});
}

// A copy of the store from before the operator's request lacks its key, which
// is written again within the time after an outage.
TEST_F(EvacuationTest, EvacuationThatANewEraLacksHoldsUntilItIsWrittenAgain) {
  this->State.onSnapshot({{"evacuate/z1", "{}", 8}, {"evacuate/z2", "{}", 9}},
                         10);
  this->State.onSnapshot({}, {1, 5});
  this->passTime(milliseconds(2'100));
  EXPECT_EQ(this->State.evacuatedDomains(), (Domains{"z1", "z2"}));
  this->State.onChanges({{{"evacuate/z1", "{}", {1, 6}}, false}}, {1, 6});
  this->passTime(milliseconds(200));
  EXPECT_EQ(this->State.evacuatedDomains(), Domains{"z1"});
}

// Peers take an empty value for a removal.
TEST_F(EvacuationTest, PeersLearnOfAnEvacuationWithAnyValueAndOfItsEnd) {
  PublishedState Peer{this->Decoder, this->Time, this->Log};
  Peer.onSnapshot({}, 0);
  this->State.onSnapshot({}, 0);
  this->evacuate("z1", "");
  const PublishedChanges Told = this->State.changesSince(Peer.position());
  ASSERT_EQ(Told.Changes.size(), 1U);
  EXPECT_FALSE(Told.Changes.front().Item.Value.empty());
  Peer.apply(Told);
  EXPECT_EQ(Peer.evacuatedDomains(), Domains{"z1"});
  this->takeBack("z1");
  Peer.apply(this->State.changesSince(Peer.position()));
  EXPECT_EQ(Peer.evacuatedDomains(), Domains{});
}

// A key that is too long would end the transfer of all others to a peer.
TEST_F(EvacuationTest, OddKeyIsLoggedOnceAndNeitherKeptNorPassedOn) {
  for (int I = 0; I < 3; ++I)
    this->evacuate("");
  this->takeBack("");
  this->evacuate("z1");
  EXPECT_EQ(this->State.evacuatedDomains(), Domains{"z1"});
  EXPECT_EQ(this->State.changesAfter(0).size(), 1U);
  EXPECT_EQ(this->Log.count(common::LogEvent::EntryMalformed), 1U);
}

} // namespace acaciacross::discovery
