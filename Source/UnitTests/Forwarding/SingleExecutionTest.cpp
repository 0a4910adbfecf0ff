#include "Forwarding/SingleExecution.h"

#include "ExecutionFixture.h"

namespace acaciacross::forwarding {

class SingleExecutionTest : public ExecutionFixture {
protected:
  void start(Repeatability Repeat, std::size_t Replicas = 3) {
    this->listSearchers(1, Replicas);
    this->Exec = std::make_unique<SingleExecution>(
        this->Dependencies, this->request(plainRoute(Repeat)),
        common::ServiceName("s0"), *this);
    this->Exec->start();
  }

  std::unique_ptr<SingleExecution> Exec;
};

TEST_F(SingleExecutionTest, ResponseOfTheSearcherIsPassedOnUnchanged) {
  this->start(Repeatability::Repeatable);
  this->Sender.answer(0, "bytes");
  ASSERT_TRUE(this->Result);
  EXPECT_EQ(this->Result->Kind, AnswerKind::Upstream);
  EXPECT_EQ(this->Result->Message.Body, "bytes");
}

// A second run would book one lot twice.
TEST_F(SingleExecutionTest, LostAttemptOfUnrepeatableRequestIsNotSentAgain) {
  this->start(Repeatability::AtMostOnce);
  this->Sender.end(0, AttemptEnd::Lost);
  ASSERT_TRUE(this->Result);
  EXPECT_EQ(this->Result->Kind, AnswerKind::Failed);
  EXPECT_EQ(this->Result->Message.Status, 502);
  EXPECT_EQ(this->Sender.Attempts.size(), 1U);
}

TEST_F(SingleExecutionTest, UnrepeatableRequestIsNeverHedged) {
  this->start(Repeatability::AtMostOnce);
  this->Time.advance(std::chrono::milliseconds(500));
  this->Exec->tick();
  EXPECT_EQ(this->Sender.Attempts.size(), 1U);
}

TEST_F(SingleExecutionTest, RejectedUnrepeatableRequestGoesToAnotherSearcher) {
  this->start(Repeatability::AtMostOnce);
  this->Sender.end(0, AttemptEnd::NotRun, 503);
  ASSERT_EQ(this->Sender.Attempts.size(), 2U);
  EXPECT_NE(this->Sender.Attempts[0].Searcher,
            this->Sender.Attempts[1].Searcher);
  this->Sender.answer(1, "bytes");
  EXPECT_EQ(this->Result->Kind, AnswerKind::Upstream);
}

// A refusal guarantees that the request has not run.
TEST_F(SingleExecutionTest, RequestRejectedEverywhereIsRefusedWithRetryAfter) {
  this->start(Repeatability::AtMostOnce);
  this->Sender.end(0, AttemptEnd::NotRun, 503);
  this->Sender.end(1, AttemptEnd::NotRun, 503);
  ASSERT_TRUE(this->Result);
  EXPECT_EQ(this->Result->Kind, AnswerKind::Refused);
  EXPECT_EQ(this->Result->Message.Status, 503);
  EXPECT_TRUE(this->Result->RetryAfter);
}

// A searcher that returns 503 without stating that it did not run the request
// may have run it. So 503 must not reach the caller.
TEST_F(SingleExecutionTest, StampedUnavailableOfSearcherThatRanIsNoRefusal) {
  this->start(Repeatability::AtMostOnce);
  this->Sender.end(0, AttemptEnd::Answered, 503, "", "stamp");
  ASSERT_TRUE(this->Result);
  EXPECT_EQ(this->Result->Kind, AnswerKind::Failed);
  EXPECT_EQ(this->Result->Message.Status, 502);
}

TEST_F(SingleExecutionTest, UnreachableSearchersDoNotCountAsAttempts) {
  this->start(Repeatability::AtMostOnce);
  this->Sender.end(0, AttemptEnd::NotSent);
  this->Sender.end(1, AttemptEnd::NotSent);
  ASSERT_EQ(this->Sender.Attempts.size(), 3U);
  this->Sender.answer(2, "bytes");
  EXPECT_EQ(this->Result->Kind, AnswerKind::Upstream);
}

TEST_F(SingleExecutionTest, SlowAttemptIsHedgedOnceAtAnotherSearcher) {
  this->start(Repeatability::Repeatable);
  this->Time.advance(std::chrono::milliseconds(41));
  this->Exec->tick();
  ASSERT_EQ(this->Sender.Attempts.size(), 2U);
  EXPECT_NE(this->Sender.Attempts[0].Searcher,
            this->Sender.Attempts[1].Searcher);
  this->Time.advance(std::chrono::milliseconds(100));
  this->Exec->tick();
  EXPECT_EQ(this->Sender.Attempts.size(), 2U) << "the route allows two";
  this->Sender.answer(1, "second");
  EXPECT_EQ(this->Result->Message.Body, "second");
  EXPECT_FALSE(this->Sender.Attempts[0].WasCancelled)
      << "the searcher may finish and keep its connection";
}

// Work for a caller that has disconnected is wasted.
TEST_F(SingleExecutionTest, CancelledRequestStopsItsSearcher) {
  this->start(Repeatability::Repeatable);
  this->Exec->cancel();
  EXPECT_TRUE(this->Sender.Attempts[0].WasCancelled);
  EXPECT_FALSE(this->Result);
}

TEST_F(SingleExecutionTest, UnresponsiveSearcherCausesATimeoutAtTheDeadline) {
  this->start(Repeatability::AtMostOnce);
  EXPECT_EQ(this->Exec->nextDue(),
            this->Time.monotonicNow() + std::chrono::milliseconds(1'000));
  this->Time.advance(std::chrono::milliseconds(1'000));
  this->Exec->tick();
  ASSERT_TRUE(this->Result);
  EXPECT_EQ(this->Result->Message.Status, 504);
  EXPECT_TRUE(this->Sender.Attempts[0].WasCancelled);
}

// Without the wait a request would be refused although a connection is about to
// become free.
TEST_F(SingleExecutionTest, RequestWithoutAFreeConnectionWaitsForOne) {
  this->Sender.FullSearchers = {"s0-a"};
  this->start(Repeatability::AtMostOnce, 1);
  EXPECT_TRUE(this->Sender.Attempts.empty());
  ASSERT_TRUE(this->Sender.WaitingListeners.contains("s0"));
  this->Sender.FullSearchers.clear();
  this->Exec->onConnectionAvailable(common::ServiceName("s0"));
  EXPECT_EQ(this->Sender.Attempts.size(), 1U);
}

} // namespace acaciacross::forwarding
