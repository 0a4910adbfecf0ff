#include "Forwarding/GatherExecution.h"

#include "ExecutionFixture.h"

namespace acaciacross::forwarding {

class GatherExecutionTest : public ExecutionFixture {
protected:
  static std::string record(char Letter) { return std::string(16, Letter); }

  void start(std::size_t Shards, double MinCoverage, std::size_t Replicas = 3) {
    this->listSearchers(Shards, Replicas);
    this->Exec = std::make_unique<GatherExecution>(
        this->Dependencies, this->request(gatherRoute(Shards, MinCoverage)),
        *this);
    this->Exec->start();
  }

  void advance(int Milliseconds) {
    this->Time.advance(std::chrono::milliseconds(Milliseconds));
    this->Exec->tick();
  }

  std::unique_ptr<GatherExecution> Exec;
};

TEST_F(GatherExecutionTest, AnswerHasTheGreatestRecordsOfAllShards) {
  this->start(2, 1.0);
  this->Sender.answer(0, record('a') + record('d'));
  EXPECT_FALSE(this->Result);
  this->Sender.answer(1, record('c') + record('b') + "rest");
  ASSERT_TRUE(this->Result);
  EXPECT_EQ(this->Result->Kind, AnswerKind::Gathered);
  EXPECT_EQ(this->Result->Message.Body,
            record('d') + record('c') + record('b'));
  EXPECT_EQ(this->Result->MissingShards, 0U);
  EXPECT_EQ(this->Result->Stamps.size(), 2U);
}

TEST_F(GatherExecutionTest, LargePartGivesItsGreatestRecords) {
  this->start(2, 1.0);
  std::string Part;
  for (int I = 0; I < 10'000; ++I)
    Part += record(static_cast<char>('a' + I % 5));
  this->Sender.answer(0, Part + record('z'));
  this->Sender.answer(1, record('y'));
  ASSERT_TRUE(this->Result);
  EXPECT_EQ(this->Result->Message.Body,
            record('z') + record('y') + record('e'));
}

// A failure must not be merged into the answer, even if it is stamped.
TEST_F(GatherExecutionTest, StampedFailureIsNotMerged) {
  this->start(2, 0.5, 1);
  this->Sender.end(0, AttemptEnd::Answered, 500, record('x'), "stamp");
  this->Sender.answer(1, record('b'));
  ASSERT_TRUE(this->Result);
  EXPECT_EQ(this->Result->MissingShards, 1U);
  EXPECT_EQ(this->Result->Message.Body, record('b'));
  EXPECT_EQ(this->Result->Stamps.size(), 1U);
}

TEST_F(GatherExecutionTest, MissingShardIsAwaitedUntilTheTargetIsNear) {
  this->start(4, 0.75, 1);
  for (std::size_t I = 0; I < 3; ++I)
    this->Sender.answer(I, record('a'));
  this->advance(60);
  EXPECT_FALSE(this->Result);
  this->advance(36);
  ASSERT_TRUE(this->Result);
  EXPECT_EQ(this->Result->MissingShards, 1U);
  EXPECT_EQ(this->Result->Code, common::ResultCode::PartialCoverage);
}

// Waiting for shards that cannot answer any more would only delay the answer.
TEST_F(GatherExecutionTest, AnswerComesAtOnceWhenTheOthersAreLost) {
  this->start(4, 0.75, 1);
  for (std::size_t I = 0; I < 3; ++I)
    this->Sender.answer(I, record('a'));
  this->Sender.end(3, AttemptEnd::Lost);
  ASSERT_TRUE(this->Result);
  EXPECT_EQ(this->Result->MissingShards, 1U);
}

TEST_F(GatherExecutionTest, TooManyLostShardsFailAtOnce) {
  this->start(4, 0.75, 1);
  this->Sender.end(0, AttemptEnd::Lost);
  EXPECT_FALSE(this->Result);
  this->Sender.end(1, AttemptEnd::Lost);
  ASSERT_TRUE(this->Result);
  EXPECT_EQ(this->Result->Kind, AnswerKind::Failed);
}

// An answer is useful to the caller even after the latency target.
TEST_F(GatherExecutionTest, LateAnswerIsDelivered) {
  this->start(4, 0.75, 1);
  this->Sender.answer(0, record('a'));
  this->Sender.answer(1, record('a'));
  this->advance(400);
  EXPECT_FALSE(this->Result);
  this->Sender.answer(2, record('a'));
  ASSERT_TRUE(this->Result);
  EXPECT_EQ(this->Result->Kind, AnswerKind::Gathered);
}

TEST_F(GatherExecutionTest, TimeLimitWithTooFewShardsIsATimeout) {
  this->start(4, 0.75, 1);
  this->Sender.answer(0, record('a'));
  this->advance(1'000);
  ASSERT_TRUE(this->Result);
  EXPECT_EQ(this->Result->Message.Status, 504);
}

TEST_F(GatherExecutionTest, EachSlowShardIsHedgedOnItsOwn) {
  this->start(3, 1.0);
  this->Sender.answer(0, record('a'));
  this->advance(41);
  EXPECT_EQ(this->Sender.Attempts.size(), 5U);
  EXPECT_EQ(this->openAttempts(), 4U);
}

// A second response of a shard would duplicate its records.
TEST_F(GatherExecutionTest, SecondAnswerOfAShardIsNotCounted) {
  this->start(2, 1.0);
  this->advance(41);
  ASSERT_EQ(this->Sender.Attempts.size(), 4U);
  this->Sender.answer(0, record('a'));
  EXPECT_FALSE(this->Sender.Attempts[2].IsOpen &&
               this->Sender.Attempts[3].IsOpen);
  EXPECT_FALSE(this->Result);
}

} // namespace acaciacross::forwarding
