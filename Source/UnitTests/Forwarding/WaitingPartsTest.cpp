#include "Forwarding/GatherExecution.h"
#include "Forwarding/SingleExecution.h"

#include "ExecutionFixture.h"

namespace acaciacross::forwarding {

/// The route has a latency target of 120 ms, a timeout of 1 s and an attempt
/// latency of 10 ms; each shard has one searcher.
class WaitingPartsTest : public ExecutionFixture {
protected:
  void SetUp() override {
    this->listSearchers(4, 1);
    const auto Statistics = this->Registry.statistics("route");
    for (int I = 0; I < 100; ++I)
      Statistics->add(std::chrono::milliseconds(10));
  }

  /// Starts a query over four shards that needs three; the last one waits for a
  /// connection.
  void startQuery() {
    this->Sender.FullSearchers = {"s3-a"};
    this->Exec = std::make_unique<GatherExecution>(
        this->Dependencies, this->request(gatherRoute(4, 0.75)), *this);
    this->Exec->start();
    ASSERT_EQ(this->Sender.Attempts.size(), 3U);
    ASSERT_TRUE(this->Sender.WaitingListeners.contains("s3"));
  }

  /// Leads to 82 ms after the start of the query: two shards have answered, the
  /// third has an attempt for 5 ms.
  void startWithOnePartUnderWay() {
    this->Sender.FullSearchers = {"s2-a", "s3-a"};
    this->Exec = std::make_unique<GatherExecution>(
        this->Dependencies, this->request(gatherRoute(4, 0.75)), *this);
    this->Exec->start();
    this->Sender.answer(0, std::string(16, 'a'));
    this->Sender.answer(1, std::string(16, 'a'));
    this->advance(77);
    this->Sender.FullSearchers = {"s3-a"};
    this->Exec->onConnectionAvailable(common::ServiceName("s2"));
    ASSERT_EQ(this->Sender.Attempts.size(), 3U);
    this->advance(5);
  }

  void advance(int Milliseconds) {
    this->Time.advance(std::chrono::milliseconds(Milliseconds));
    this->Exec->tick();
  }

  void freeConnection(const std::string &Service) {
    this->Sender.FullSearchers.clear();
    this->Sender.WaitingListeners.erase(Service);
    this->Exec->onConnectionAvailable(common::ServiceName(Service));
  }

  std::unique_ptr<Execution> Exec;
};

TEST_F(WaitingPartsTest, PartThatCanBeInTimeIsSent) {
  this->startQuery();
  this->advance(60);
  this->freeConnection("s3");
  EXPECT_EQ(this->Sender.Attempts.size(), 4U);
}

// The answer is given without the part before the part can arrive, so its
// attempt would only take a place at a searcher.
TEST_F(WaitingPartsTest, PartThatComesTooLateIsNotSentWhenTheOthersSuffice) {
  this->startQuery();
  for (std::size_t I = 0; I < 3; ++I)
    this->Sender.answer(I, std::string(16, 'a'));
  this->advance(60);
  EXPECT_FALSE(this->Result) << "the part can still be in time";
  this->Time.advance(std::chrono::milliseconds(22));
  this->freeConnection("s3");
  EXPECT_EQ(this->Sender.Attempts.size(), 3U);
  ASSERT_TRUE(this->Result);
  EXPECT_EQ(this->Result->Kind, AnswerKind::Gathered);
  EXPECT_EQ(this->Result->MissingShards, 1U);
}

TEST_F(WaitingPartsTest, PartIsNotSentWhileTheAnswersOfOthersAreExpected) {
  this->startWithOnePartUnderWay();
  this->freeConnection("s3");
  EXPECT_EQ(this->Sender.Attempts.size(), 3U);
  EXPECT_FALSE(this->Result);
  this->Sender.answer(2, std::string(16, 'a'));
  ASSERT_TRUE(this->Result);
  EXPECT_EQ(this->Result->MissingShards, 1U);
}

// Without the part that was not sent, the query would fail.
TEST_F(WaitingPartsTest, PartIsSentWhenAnotherOneIsLost) {
  this->startWithOnePartUnderWay();
  this->freeConnection("s3");
  this->Sender.end(2, AttemptEnd::Lost);
  ASSERT_EQ(this->Sender.Attempts.size(), 4U);
  this->Sender.answer(3, std::string(16, 'a'));
  ASSERT_TRUE(this->Result);
  EXPECT_EQ(this->Result->Kind, AnswerKind::Gathered);
  EXPECT_EQ(this->Result->MissingShards, 1U);
}

// A searcher that pauses must not delay the answer.
TEST_F(WaitingPartsTest, PartIsSentWhenAnotherOneIsOverdue) {
  this->startWithOnePartUnderWay();
  this->freeConnection("s3");
  this->advance(20);
  EXPECT_EQ(this->Sender.Attempts.size(), 4U);
}

// A part that was needed late is sent late: the answer is delivered all the
// same.
TEST_F(WaitingPartsTest, NeededPartIsSentAfterTheTarget) {
  this->startQuery();
  this->Sender.end(0, AttemptEnd::Lost);
  this->advance(300);
  this->freeConnection("s3");
  ASSERT_EQ(this->Sender.Attempts.size(), 4U);
  for (std::size_t I = 1; I < 4; ++I)
    this->Sender.answer(I, std::string(16, 'a'));
  ASSERT_TRUE(this->Result);
  EXPECT_EQ(this->Result->Kind, AnswerKind::Gathered);
}

// Sent at its deadline, the attempt would run for nobody.
TEST_F(WaitingPartsTest, AttemptWithoutTimeLeftIsRefusedAsNotRun) {
  this->Sender.FullSearchers = {"s0-a"};
  this->Exec = std::make_unique<SingleExecution>(
      this->Dependencies, this->request(plainRoute(Repeatability::AtMostOnce)),
      common::ServiceName("s0"), *this);
  this->Exec->start();
  this->advance(970);
  EXPECT_FALSE(this->Result);
  ASSERT_TRUE(this->Exec->nextDue());
  EXPECT_LT(*this->Exec->nextDue(),
            this->Time.monotonicNow() + std::chrono::milliseconds(25));
  this->advance(25);
  ASSERT_TRUE(this->Result);
  EXPECT_EQ(this->Result->Kind, AnswerKind::Refused);
  EXPECT_TRUE(this->Sender.Attempts.empty());
}

TEST_F(WaitingPartsTest, QueryWithoutTimeForANeededPartIsATimeout) {
  this->startQuery();
  this->Sender.end(0, AttemptEnd::Lost);
  this->Sender.answer(1, std::string(16, 'a'));
  this->Sender.answer(2, std::string(16, 'a'));
  this->advance(995);
  ASSERT_TRUE(this->Result);
  EXPECT_EQ(this->Result->Kind, AnswerKind::Failed);
  EXPECT_EQ(this->Result->Message.Status, 504);
}

} // namespace acaciacross::forwarding
