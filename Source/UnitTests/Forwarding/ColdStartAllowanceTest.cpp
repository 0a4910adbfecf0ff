#include "Forwarding/ColdStartAllowance.h"

#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

namespace acaciacross::forwarding {

using std::chrono::milliseconds;

/// A searcher of a service with a cold time of 3 s, to which this VM may send
/// two requests a second.
class ColdStartAllowanceTest : public testing::Test {
protected:
  ColdStartAllowanceTest() {
    this->Allowance.setLimit(ColdStartLimit{milliseconds(3'000), 2});
  }

  common::MonotonicTime now() const { return this->Time.monotonicNow(); }

  /// Sends as many requests as are allowed, up to 100.
  int sendAll() {
    int Count = 0;
    for (; Count < 100 && !this->Allowance.isUsedUp(this->now()); ++Count)
      this->Allowance.onSent(this->now());
    return Count;
  }

  testsupport::ManualClock Time;
  ColdStartAllowance Allowance;
};

TEST_F(ColdStartAllowanceTest, EverySecondHasAtMostTheLimit) {
  this->Allowance.onEntry(this->now(), milliseconds(20'000));
  std::vector<common::MonotonicTime> Sent;
  for (int I = 0; I < 500; ++I) {
    if (!this->Allowance.isUsedUp(this->now())) {
      this->Allowance.onSent(this->now());
      Sent.push_back(this->now());
    }
    this->Time.advance(milliseconds(I % 7 * 10));
  }
  EXPECT_GT(Sent.size(), 10U);
  for (std::size_t I = 2; I < Sent.size(); ++I)
    EXPECT_GT(Sent[I] - Sent[I - 2], milliseconds(1'000)) << I;
}

// A VM that learns late must not send a whole allowance on top of what it has
// sent already.
TEST_F(ColdStartAllowanceTest, RequestsBeforeTheSearcherTurnedColdCount) {
  this->Allowance.onSent(this->now());
  this->Allowance.onSent(this->now());
  this->Time.advance(milliseconds(500));
  this->Allowance.onReported(this->now(), milliseconds(4'000));
  EXPECT_TRUE(this->Allowance.isUsedUp(this->now()));
  EXPECT_FALSE(this->Allowance.isOverdrawn(this->now()));
  this->Time.advance(milliseconds(600));
  EXPECT_EQ(this->sendAll(), 2);
}

// A connection may still be set up when the searcher turns cold.
TEST_F(ColdStartAllowanceTest, WithdrawnAttemptsAreGivenBack) {
  for (int I = 0; I < 4; ++I)
    this->Allowance.onSent(this->now());
  this->Allowance.onReported(this->now(), milliseconds(4'000));
  EXPECT_TRUE(this->Allowance.isOverdrawn(this->now()));
  this->Allowance.onWithdrawn(this->now());
  EXPECT_TRUE(this->Allowance.isOverdrawn(this->now()));
  this->Allowance.onWithdrawn(this->now());
  EXPECT_FALSE(this->Allowance.isOverdrawn(this->now()));
}

// Answers overtake each other; an older one must not end a cold time that began
// since.
TEST_F(ColdStartAllowanceTest, OvertakenReportDoesNotEndTheColdTime) {
  this->Allowance.onReported(this->now(), milliseconds(4'000));
  this->Time.advance(milliseconds(10));
  this->Allowance.onReported(this->now(), milliseconds(0));
  EXPECT_TRUE(this->Allowance.isCold(this->now()));
  this->Time.advance(milliseconds(1'500));
  this->Allowance.onReported(this->now(), milliseconds(0));
  EXPECT_FALSE(this->Allowance.isCold(this->now()));
}

// The entry of a searcher that restarts quickly still says that it is warm.
TEST_F(ColdStartAllowanceTest, SearcherThatAnswersAfterAFailedConnectIsCold) {
  this->Allowance.onConnectFailed(this->now());
  EXPECT_EQ(this->sendAll(), 2);
  this->Time.advance(milliseconds(1'200));
  this->Allowance.onAnswered(this->now());
  this->Time.advance(milliseconds(2'999));
  EXPECT_TRUE(this->Allowance.isCold(this->now()));
  this->Time.advance(milliseconds(1));
  EXPECT_FALSE(this->Allowance.isCold(this->now()));
}

TEST_F(ColdStartAllowanceTest, EntryAfterAFailedConnectIsBelieved) {
  this->Allowance.onConnectFailed(this->now());
  this->Allowance.onEntry(this->now(), milliseconds(0));
  EXPECT_FALSE(this->Allowance.isMarked(this->now()));
}

} // namespace acaciacross::forwarding
