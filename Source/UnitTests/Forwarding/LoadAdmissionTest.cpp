#include "Forwarding/LoadAdmission.h"

#include "ExecutionFixture.h"

#include "Forwarding/AdmissionChain.h"
#include "Forwarding/ReachabilityAdmission.h"

#include <set>

namespace acaciacross::forwarding {

using std::chrono::milliseconds;

/// The route has a latency target of 120 ms and a typical attempt latency of 10
/// ms.
class LoadAdmissionTest : public ExecutionFixture {
protected:
  void SetUp() override {
    this->listSearchers(4, 2);
    this->Target = gatherRoute(4, 0.75);
    const auto Statistics = this->Registry.statistics(this->Target.Name);
    for (int I = 0; I < 100; ++I)
      Statistics->add(milliseconds(10));
  }

  void reportQueue(const std::string &Service, unsigned Waiting) {
    for (const auto &Replica :
         this->Registry.replicas(common::ServiceName(Service)))
      Replica->onLoadReported(this->Time.monotonicNow(), {2, Waiting, 2});
  }

  std::optional<Refusal> check() {
    const auto Request = this->request(this->Target);
    return this->Policy.check(*Request, this->Target.Gather->Shards,
                              this->Registry, this->Time.monotonicNow());
  }

  Route Target;
  DemandShares Demand;
  LoadAdmission Policy{this->Sender, this->Demand, this->Random};
};

TEST_F(LoadAdmissionTest, ShortQueuesAdmitRequests) {
  for (const char *Service : {"s0", "s1", "s2", "s3"})
    this->reportQueue(Service, 4);
  EXPECT_FALSE(this->check());
}

// Without rejections all answers would be late: in a burst of twice the load,
// 750 of 1,181 answers came after their target.
TEST_F(LoadAdmissionTest, QueuesLongerThanTheTargetRejectRequests) {
  for (const char *Service : {"s0", "s1", "s2", "s3"})
    this->reportQueue(Service, 20);
  const auto Refused = this->check();
  ASSERT_TRUE(Refused);
  EXPECT_EQ(Refused->Code, common::ResultCode::Overloaded);
  EXPECT_GE(Refused->RetryAfter, milliseconds(50));
}

// A query is answered without the shard that is too slow.
TEST_F(LoadAdmissionTest, LongQueueOfAnOptionalShardRejectsNothing) {
  this->reportQueue("s0", 40);
  EXPECT_FALSE(this->check());
  this->reportQueue("s1", 40);
  EXPECT_TRUE(this->check());
}

// One searcher with free slots is enough for its shard.
TEST_F(LoadAdmissionTest, LeastLoadedSearcherOfAShardCounts) {
  for (const char *Service : {"s0", "s1", "s2", "s3"}) {
    this->reportQueue(Service, 40);
    this->Registry.replicas(common::ServiceName(Service))
        .front()
        ->onLoadReported(this->Time.monotonicNow(), {1, 0, 2});
  }
  EXPECT_FALSE(this->check());
}

// Requests also wait within this VM for a connection.
TEST_F(LoadAdmissionTest, RequestsWaitingForAConnectionCount) {
  for (const char *Service : {"s0", "s1", "s2", "s3"})
    this->Sender.WaitingCounts[Service] = 20;
  EXPECT_TRUE(this->check());
}

// Callers that were refused together must not return together, nor before the
// queue has emptied.
TEST_F(LoadAdmissionTest, RetryTimesDifferAndGrowWithTheWait) {
  const auto RetryTimes = [&](unsigned Waiting) {
    std::set<milliseconds> Times;
    for (const char *Service : {"s0", "s1", "s2", "s3"})
      this->reportQueue(Service, Waiting);
    for (int I = 0; I < 20; ++I)
      Times.insert(this->check()->RetryAfter);
    return Times;
  };
  const std::set<milliseconds> Short = RetryTimes(40);
  EXPECT_GT(Short.size(), 10U);
  EXPECT_GE(*Short.begin(), milliseconds(200));
  const std::set<milliseconds> Long = RetryTimes(400);
  EXPECT_GE(*Long.begin(), milliseconds(1'900));
  EXPECT_LE(*Long.rbegin(), milliseconds(3'300));
}

// Only replies report that queues are empty. If old reports stayed valid, no
// request would be admitted after a burst.
TEST_F(LoadAdmissionTest, OutdatedQueueReportsAreIgnored) {
  for (const char *Service : {"s0", "s1", "s2", "s3"})
    this->reportQueue(Service, 40);
  this->Time.advance(milliseconds(300));
  EXPECT_FALSE(this->check());
}

TEST_F(LoadAdmissionTest, ChainReturnsItsFirstRefusal) {
  const ReachabilityAdmission Reachability;
  const AdmissionChain Chain({&Reachability, &this->Policy});
  for (const char *Service : {"s0", "s1", "s2", "s3"}) {
    this->reportQueue(Service, 40);
    for (const auto &Replica :
         this->Registry.replicas(common::ServiceName(Service)))
      Replica->onUnreachable(this->Time.monotonicNow());
  }
  const auto Request = this->request(this->Target);
  const auto Refused = Chain.check(*Request, this->Target.Gather->Shards,
                                   this->Registry, this->Time.monotonicNow());
  ASSERT_TRUE(Refused);
  EXPECT_EQ(Refused->Code, common::ResultCode::NoUsableReplica);
}

} // namespace acaciacross::forwarding
