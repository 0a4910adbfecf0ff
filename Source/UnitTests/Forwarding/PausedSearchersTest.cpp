#include "Forwarding/AvailabilityForecast.h"
#include "Forwarding/GatherExecution.h"
#include "Forwarding/ReachabilityAdmission.h"
#include "Forwarding/SingleExecution.h"

#include "ExecutionFixture.h"

namespace acaciacross::forwarding {

using std::chrono::milliseconds;

/// What callers get while searchers have asked this VM for a pause.
class PausedSearchersTest : public ExecutionFixture {
protected:
  /// All searchers of the service ask for the pause; the first one asks for
  /// FirstPause.
  void pause(const std::string &Service, milliseconds Pause,
             milliseconds FirstPause) {
    milliseconds Current = FirstPause;
    for (const auto &Replica :
         this->Registry.replicas(common::ServiceName(Service))) {
      this->Registry.recordNotice(*Replica, {false, Current, ""},
                                  this->Time.monotonicNow());
      Current = Pause;
    }
  }

  std::optional<Refusal> admit(const Route &Target) {
    const auto Request = this->request(Target);
    const std::vector<common::ServiceName> Services =
        Target.Gather ? Target.Gather->Shards
                      : std::vector{Target.Services.front().Service};
    return ReachabilityAdmission().check(*Request, Services, this->Registry,
                                         this->Time.monotonicNow());
  }

  const Route Plain = plainRoute(Repeatability::Repeatable);
};

// A caller must not be asked to come back before a searcher takes its request.
TEST_F(PausedSearchersTest, RefusalNamesTheEndOfTheFirstPause) {
  this->listSearchers(1, 3);
  this->pause("s0", milliseconds(4'000), milliseconds(2'500));
  const auto Refused = this->admit(this->Plain);
  ASSERT_TRUE(Refused);
  EXPECT_EQ(Refused->RetryAfter, milliseconds(2'500));
}

TEST_F(PausedSearchersTest, QueryIsRefusedUntilEnoughShardsTakeRequests) {
  this->listSearchers(4, 2);
  const Route Query = gatherRoute(4, 0.75);
  this->pause("s0", milliseconds(9'000), milliseconds(9'000));
  EXPECT_FALSE(this->admit(Query)) << "three of four shards are enough";
  this->pause("s1", milliseconds(3'000), milliseconds(3'000));
  const auto Refused = this->admit(Query);
  ASSERT_TRUE(Refused);
  EXPECT_EQ(Refused->RetryAfter, milliseconds(3'000));
}

TEST_F(PausedSearchersTest, RequestGoesToASearcherWithoutPause) {
  this->listSearchers(1, 2);
  this->Registry.recordNotice(
      *this->Registry.replicas(common::ServiceName("s0")).front(),
      {false, milliseconds(1'000), ""}, this->Time.monotonicNow());
  EXPECT_FALSE(this->admit(this->Plain));
  SingleExecution Running(this->Dependencies, this->request(this->Plain),
                          common::ServiceName("s0"), *this);
  Running.start();
  ASSERT_EQ(this->Sender.Attempts.size(), 1U);
  EXPECT_EQ(this->Sender.Attempts.front().Searcher, "s0-b");
}

// Waiting for a pause that ends in time serves the caller better than a
// refusal.
TEST_F(PausedSearchersTest, RequestWaitsForAPauseThatEndsInTime) {
  this->listSearchers(1, 1);
  this->pause("s0", milliseconds(0), milliseconds(40));
  EXPECT_FALSE(this->admit(this->Plain));
  SingleExecution Running(this->Dependencies, this->request(this->Plain),
                          common::ServiceName("s0"), *this);
  Running.start();
  EXPECT_TRUE(this->Sender.Attempts.empty());
  ASSERT_TRUE(Running.nextDue());
  this->Time.advance(milliseconds(39));
  Running.tick();
  EXPECT_TRUE(this->Sender.Attempts.empty());
  EXPECT_EQ(*Running.nextDue() - this->Time.monotonicNow(), milliseconds(1));
  this->Time.advance(milliseconds(1));
  Running.tick();
  ASSERT_EQ(this->Sender.Attempts.size(), 1U);
  this->Sender.answer(0, "body");
  ASSERT_TRUE(this->Result);
  EXPECT_EQ(this->Result->Kind, AnswerKind::Upstream);
}

// A searcher that rejects a request and asks for time ends the request at once
// when no other searcher is left, with the time at which it may come back.
TEST_F(PausedSearchersTest, RejectedRequestIsRefusedUntilThePauseEnds) {
  this->listSearchers(1, 1);
  SingleExecution Running(this->Dependencies, this->request(this->Plain),
                          common::ServiceName("s0"), *this);
  Running.start();
  this->pause("s0", milliseconds(0), milliseconds(2'000));
  this->Sender.end(0, AttemptEnd::NotRun, 503);
  ASSERT_TRUE(this->Result);
  EXPECT_EQ(this->Result->Kind, AnswerKind::Refused);
  EXPECT_EQ(this->Result->RetryAfter, milliseconds(2'000));
}

// A hedge is a request too.
TEST_F(PausedSearchersTest, HedgeIsNotSentToAPausedSearcher) {
  this->listSearchers(1, 2);
  SingleExecution Running(this->Dependencies, this->request(this->Plain),
                          common::ServiceName("s0"), *this);
  Running.start();
  this->pause("s0", milliseconds(900), milliseconds(900));
  this->Time.advance(milliseconds(100));
  Running.tick();
  EXPECT_EQ(this->Sender.Attempts.size(), 1U);
}

TEST_F(PausedSearchersTest, QueryAnswersWithoutAPausedShard) {
  this->listSearchers(4, 1);
  this->pause("s0", milliseconds(0), milliseconds(5'000));
  GatherExecution Running(this->Dependencies,
                          this->request(gatherRoute(4, 0.75)), *this);
  Running.start();
  ASSERT_EQ(this->Sender.Attempts.size(), 3U);
  for (std::size_t I = 0; I < 3; ++I)
    this->Sender.answer(I, std::string(16, 'a'));
  ASSERT_TRUE(this->Result) << "answered without waiting for the paused shard";
  EXPECT_EQ(this->Result->MissingShards, 1U);
}

} // namespace acaciacross::forwarding
