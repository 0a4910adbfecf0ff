#include "Forwarding/UrgencyOrder.h"

#include "NullAttemptListener.h"

#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

#include <deque>
#include <string>

namespace acaciacross::forwarding {

using std::chrono::milliseconds;

class UrgencyOrderTest : public testing::Test {
protected:
  static constexpr milliseconds Target{100};

  /// Adds a waiting attempt that can be in time for another TimeLeft.
  AttemptListener *wait(int Priority, const std::string &Caller,
                        milliseconds TimeLeft = Target) {
    NullAttemptListener &Added = this->Listeners.emplace_back();
    this->Order.add(Added, {Priority, this->Time.monotonicNow() + TimeLeft,
                            common::CallerHost(Caller)});
    return &Added;
  }

  AttemptListener *next() {
    return this->Order.takeNext(this->Time.monotonicNow());
  }

  testsupport::ManualClock Time;
  std::deque<NullAttemptListener> Listeners;
  UrgencyOrder Order;
};

// Without a difference in priority and callers, the order is that of arrival.
TEST_F(UrgencyOrderTest, EqualAttemptsAreTakenInOrderOfArrival) {
  for (int I = 0; I < 5; ++I)
    this->wait(0, I % 2 == 0 ? "a" : "b");
  for (NullAttemptListener &Expected : this->Listeners)
    EXPECT_EQ(this->next(), &Expected);
  EXPECT_EQ(this->next(), nullptr);
}

TEST_F(UrgencyOrderTest, UrgentAttemptIsTakenFirst) {
  AttemptListener *const Batch = this->wait(2, "a");
  AttemptListener *const Urgent = this->wait(0, "a");
  EXPECT_EQ(this->next(), Urgent);
  EXPECT_EQ(this->next(), Batch);
}

// A connection for an answer that comes too late anyway makes another answer
// late as well.
TEST_F(UrgencyOrderTest, LateAttemptWaitsBehindThoseThatCanBeInTime) {
  AttemptListener *const Late = this->wait(0, "a", milliseconds(10));
  AttemptListener *const InTime = this->wait(0, "b");
  AttemptListener *const LessUrgent = this->wait(1, "b");
  this->Time.advance(milliseconds(20));
  EXPECT_EQ(this->next(), InTime);
  EXPECT_EQ(this->next(), LessUrgent);
  EXPECT_EQ(this->next(), Late);
}

// A caller that repeats without pause has many attempts waiting.
TEST_F(UrgencyOrderTest, CallersTakeTurns) {
  for (int I = 0; I < 50; ++I)
    this->wait(0, "presses");
  AttemptListener *const Other = this->wait(0, "other");
  this->next();
  EXPECT_EQ(this->next(), Other);
  // A caller does not gain by waiting with one attempt at a time.
  AttemptListener *const Again = this->wait(0, "other");
  AttemptListener *const Third = this->wait(0, "third");
  EXPECT_EQ(this->next(), Third);
  this->next();
  EXPECT_EQ(this->next(), Again);
}

// Attempts that were given up must not count against their caller for long.
TEST_F(UrgencyOrderTest, CallerThatGaveUpWaitsForOneTurn) {
  for (int I = 0; I < 50; ++I)
    this->wait(0, "gave-up");
  for (NullAttemptListener &Left : this->Listeners)
    this->Order.remove(Left);
  AttemptListener *const Returned = this->wait(0, "gave-up");
  for (int I = 0; I < 3; ++I)
    this->wait(0, "other");
  this->next();
  EXPECT_EQ(this->next(), Returned);
}

TEST_F(UrgencyOrderTest, RemovedAttemptIsNotTaken) {
  AttemptListener *const Removed = this->wait(0, "a", milliseconds(5));
  AttemptListener *const Left = this->wait(0, "a");
  this->Time.advance(milliseconds(10));
  this->Order.remove(*Removed);
  EXPECT_EQ(this->Order.size(), 1U);
  EXPECT_EQ(this->next(), Left);
  EXPECT_EQ(this->next(), nullptr);
}

// A listener in the order twice would be notified after it has ended.
TEST_F(UrgencyOrderTest, ListenerWaitsOnce) {
  AttemptListener *const Added = this->wait(0, "a");
  this->Order.add(*Added, {0, this->Time.monotonicNow(), {}});
  EXPECT_EQ(this->Order.size(), 1U);
  EXPECT_EQ(this->next(), Added);
  EXPECT_EQ(this->next(), nullptr);
}

} // namespace acaciacross::forwarding
