#include "Forwarding/LoadAdmission.h"

#include "ExecutionFixture.h"

#include "Forwarding/AdmissionChain.h"
#include "Forwarding/ReachabilityAdmission.h"

namespace acaciacross::forwarding {

using std::chrono::milliseconds;

/// The route has a target of 120 ms; its attempts usually last 10 ms.
class LoadAdmissionTest : public ExecutionFixture {
protected:
  void SetUp() override {
    this->list(4, 2);
    this->Target = gatherRoute(4, 0.75);
    const auto Known = this->Book.statistics(this->Target.Name);
    for (int I = 0; I < 100; ++I)
      Known->add(milliseconds(10));
  }

  void queue(const std::string &Service, unsigned Waiting) {
    for (const auto &Each : this->Book.replicas(common::ServiceName(Service)))
      Each->onLoad(this->Time.monotonicNow(), {2, Waiting, 2});
  }

  std::optional<Refusal> check() {
    const auto Request = this->request(this->Target);
    return this->Rule.check(*Request, this->Target.Gather->Shards, this->Book,
                            this->Time.monotonicNow());
  }

  Route Target;
  LoadAdmission Rule{this->Port};
};

TEST_F(LoadAdmissionTest, ShortQueuesAreNoReasonToReject) {
  for (const char *Each : {"s0", "s1", "s2", "s3"})
    this->queue(Each, 4);
  EXPECT_FALSE(this->check());
}

// Everything would be late: in a burst of twice the load 750 of 1,181 answers
// came after their target.
TEST_F(LoadAdmissionTest, QueuesLongerThanTheTargetRejectAtOnce) {
  for (const char *Each : {"s0", "s1", "s2", "s3"})
    this->queue(Each, 20);
  const auto Refused = this->check();
  ASSERT_TRUE(Refused);
  EXPECT_EQ(Refused->Code, common::ResultCode::Overloaded);
  EXPECT_GE(Refused->RetryAfter, milliseconds(50));
}

// A query is answered without the shard that is too slow.
TEST_F(LoadAdmissionTest, LongQueueOfAShardThatMayBeMissingRejectsNothing) {
  this->queue("s0", 40);
  EXPECT_FALSE(this->check());
  this->queue("s1", 40);
  EXPECT_TRUE(this->check());
}

// One searcher with room is enough for its shard.
TEST_F(LoadAdmissionTest, LeastLoadedSearcherOfAShardCounts) {
  for (const char *Each : {"s0", "s1", "s2", "s3"}) {
    this->queue(Each, 40);
    this->Book.replicas(common::ServiceName(Each))
        .front()
        ->onLoad(this->Time.monotonicNow(), {1, 0, 2});
  }
  EXPECT_FALSE(this->check());
}

// Requests also wait in this VM, for a connection.
TEST_F(LoadAdmissionTest, RequestsWithoutAConnectionCount) {
  for (const char *Each : {"s0", "s1", "s2", "s3"})
    this->Port.Queued[Each] = 20;
  EXPECT_TRUE(this->check());
}

// Otherwise nothing would be taken after a burst, since only replies tell that
// the queues are empty.
TEST_F(LoadAdmissionTest, OldReportsOfQueuesAreForgotten) {
  for (const char *Each : {"s0", "s1", "s2", "s3"})
    this->queue(Each, 40);
  this->Time.advance(milliseconds(300));
  EXPECT_FALSE(this->check());
}

TEST_F(LoadAdmissionTest, FirstRefusalOfAChainCounts) {
  const ReachabilityAdmission Reachability;
  const AdmissionChain Chain({&Reachability, &this->Rule});
  for (const char *Each : {"s0", "s1", "s2", "s3"}) {
    this->queue(Each, 40);
    for (const auto &Replica : this->Book.replicas(common::ServiceName(Each)))
      Replica->onUnreachable(this->Time.monotonicNow());
  }
  const auto Request = this->request(this->Target);
  const auto Refused = Chain.check(*Request, this->Target.Gather->Shards,
                                   this->Book, this->Time.monotonicNow());
  ASSERT_TRUE(Refused);
  EXPECT_EQ(Refused->Code, common::ResultCode::NoUsableReplica);
}

} // namespace acaciacross::forwarding
