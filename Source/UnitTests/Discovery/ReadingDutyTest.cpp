#include "Discovery/ReadingDuty.h"

#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

namespace acaciacross::discovery {

using std::chrono::milliseconds;

class ReadingDutyTest : public testing::Test {
protected:
  bool mustRead(bool IsElected = false, bool HasAll = true) {
    return this->Duty.mustRead(this->Time.monotonicNow(), IsElected, HasAll);
  }

  void answer() { this->Duty.noteAnswer(this->Time.monotonicNow()); }

  testsupport::ManualClock Time;
  ReadingDuty Duty{milliseconds(3'000)};
};

TEST_F(ReadingDutyTest, ElectedVmAndVmWithoutAnythingRead) {
  this->answer();
  EXPECT_FALSE(this->mustRead());
  EXPECT_TRUE(this->mustRead(true));
  EXPECT_TRUE(this->mustRead(false, false));
}

// The elected readers may be just those that cannot reach the store; what
// changes must be in effect within 3 s all the same.
TEST_F(ReadingDutyTest, VmThatHearsOfNoFreshAnswerReadsItself) {
  this->answer();
  this->Time.advance(milliseconds(2'000));
  EXPECT_FALSE(this->mustRead());
  this->Time.advance(milliseconds(200));
  EXPECT_TRUE(this->mustRead());
}

// In a fleet of 69 that started together each VM watched the store for 4 s.
TEST_F(ReadingDutyTest, VmThatHasJustReadAllWaitsForItsPeers) {
  EXPECT_TRUE(this->mustRead(false, false));
  // What a peer says that has heard of no answer either.
  this->Duty.noteAnswer(this->Time.monotonicNow() - milliseconds(60'000));
  EXPECT_FALSE(this->mustRead());
  this->Time.advance(milliseconds(1'400));
  EXPECT_FALSE(this->mustRead());
  this->Time.advance(milliseconds(200));
  EXPECT_TRUE(this->mustRead()) << "nobody told of an answer";
}

TEST_F(ReadingDutyTest, ReadingGoesOnForAWhileAfterAnOldAnswer) {
  this->answer();
  this->Time.advance(milliseconds(2'200));
  EXPECT_TRUE(this->mustRead());
  this->answer();
  EXPECT_TRUE(this->mustRead());
  this->Time.advance(milliseconds(4'100));
  this->answer();
  EXPECT_FALSE(this->mustRead());
}

// A late message must not make an answer look younger or older.
TEST_F(ReadingDutyTest, YoungestAnswerCounts) {
  this->answer();
  this->Duty.noteAnswer(this->Time.monotonicNow() - milliseconds(5'000));
  EXPECT_EQ(this->Duty.answerAge(this->Time.monotonicNow()), milliseconds(0));
}

} // namespace acaciacross::discovery
