#include "Discovery/StoreReadPolicy.h"

#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

namespace acaciacross::discovery {

using std::chrono::milliseconds;

class StoreReadPolicyTest : public testing::Test {
protected:
  bool mustRead(bool IsElected = false, bool HasSnapshot = true) {
    return this->ReadPolicy.mustRead(this->Time.monotonicNow(), IsElected,
                                     HasSnapshot, this->Rank);
  }

  void recordAnswerNow() {
    this->ReadPolicy.recordAnswer(this->Time.monotonicNow());
  }

  testsupport::ManualClock Time;
  FallbackRank Rank;
  StoreReadPolicy ReadPolicy{milliseconds(3'000)};
};

// If these did not read, nobody would learn of changes, and a new VM would have
// no searchers.
TEST_F(StoreReadPolicyTest, ElectedVmAndVmWithoutASnapshotRead) {
  this->recordAnswerNow();
  EXPECT_FALSE(this->mustRead());
  EXPECT_TRUE(this->mustRead(true));
  EXPECT_TRUE(this->mustRead(false, false));
}

// The elected readers may be unable to reach the store; changes must still be
// in effect within 3 s.
TEST_F(StoreReadPolicyTest, VmThatHearsOfNoFreshAnswerReadsItself) {
  this->recordAnswerNow();
  this->Time.advance(milliseconds(2'000));
  EXPECT_FALSE(this->mustRead());
  this->Time.advance(milliseconds(200));
  EXPECT_TRUE(this->mustRead());
}

// All VMs of a fleet hear of the last answer at the same time. If all began to
// read together, an outage would cost a call of each of them.
TEST_F(StoreReadPolicyTest, VmsOfALargeFleetBeginToReadOneAfterAnother) {
  this->recordAnswerNow();
  this->Time.advance(milliseconds(2'110));
  this->Rank = {0, 200};
  EXPECT_TRUE(this->mustRead());
  StoreReadPolicy Last{milliseconds(3'000)};
  Last.recordAnswer(this->Time.monotonicNow() - milliseconds(2'110));
  const FallbackRank LastRank{199, 200};
  EXPECT_FALSE(Last.mustRead(this->Time.monotonicNow(), false, true, LastRank));
  this->Time.advance(milliseconds(450));
  EXPECT_TRUE(Last.mustRead(this->Time.monotonicNow(), false, true, LastRank))
      << "still before changes must be in effect";
}

TEST_F(StoreReadPolicyTest, VmsOfALargeFleetShareARateOfCallsInAnOutage) {
  EXPECT_EQ(StoreReadPolicy::maxBackOff(false, true, {0, 8}),
            milliseconds(1'000));
  EXPECT_EQ(StoreReadPolicy::maxBackOff(false, true, {5, 200}),
            milliseconds(25'000));
  EXPECT_EQ(StoreReadPolicy::maxBackOff(true, true, {5, 200}),
            milliseconds(1'000));
  EXPECT_EQ(StoreReadPolicy::maxBackOff(false, false, {5, 200}),
            milliseconds(1'000))
      << "a VM without a configuration cannot serve";
}

// Without the wait, each VM of a fleet of 69 that starts together watches the
// store for 4 s.
TEST_F(StoreReadPolicyTest, VmThatHasJustReadTheStoreWaitsForItsPeers) {
  EXPECT_TRUE(this->mustRead(false, false));
  // The age that a peer reports if it knows of no answer either.
  this->ReadPolicy.recordAnswer(this->Time.monotonicNow() -
                                milliseconds(60'000));
  EXPECT_FALSE(this->mustRead());
  this->Time.advance(milliseconds(1'400));
  EXPECT_FALSE(this->mustRead());
  this->Time.advance(milliseconds(200));
  EXPECT_TRUE(this->mustRead()) << "no peer reported an answer";
}

// A single fresh answer must not stop the reading at once, or it would start
// and stop repeatedly.
TEST_F(StoreReadPolicyTest, ReadingContinuesForFourSecondsAfterAnOldAnswer) {
  this->recordAnswerNow();
  this->Time.advance(milliseconds(2'200));
  EXPECT_TRUE(this->mustRead());
  this->recordAnswerNow();
  EXPECT_TRUE(this->mustRead());
  this->Time.advance(milliseconds(4'100));
  this->recordAnswerNow();
  EXPECT_FALSE(this->mustRead());
}

// A VM whose pull did not end took its peers' answers for its own, so it
// neither had the changes nor read the store.
TEST_F(StoreReadPolicyTest, AnswerOfAPeerCountsOnlyWithWhatThePeerKnows) {
  this->recordAnswerNow();
  this->Time.advance(milliseconds(2'200));
  this->ReadPolicy.recordPeerAnswer(this->Time.monotonicNow(), 9, 8);
  EXPECT_TRUE(this->mustRead());
  this->ReadPolicy.recordPeerAnswer(this->Time.monotonicNow(), 9, 9);
  EXPECT_EQ(this->ReadPolicy.answerAge(this->Time.monotonicNow()),
            milliseconds(0));
}

// A late message with an older answer must not change the age of the newest
// one.
TEST_F(StoreReadPolicyTest, NewestAnswerDeterminesTheAge) {
  this->recordAnswerNow();
  this->ReadPolicy.recordAnswer(this->Time.monotonicNow() -
                                milliseconds(5'000));
  EXPECT_EQ(this->ReadPolicy.answerAge(this->Time.monotonicNow()),
            milliseconds(0));
}

} // namespace acaciacross::discovery
