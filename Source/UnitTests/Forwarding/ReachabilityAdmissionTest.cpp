#include "Forwarding/ReachabilityAdmission.h"

#include "ExecutionFixture.h"

namespace acaciacross::forwarding {

class ReachabilityAdmissionTest : public ExecutionFixture {
protected:
  std::optional<Refusal> check(const Route &Target) {
    const auto Request = this->request(Target);
    const std::vector<common::ServiceName> Services =
        Target.Gather ? Target.Gather->Shards
                      : std::vector{Target.Services.front().Service};
    return this->Admission.check(*Request, Services, this->Registry,
                                 this->Time.monotonicNow());
  }

  void markUnreachable(const std::string &Service) {
    for (const auto &Replica :
         this->Registry.replicas(common::ServiceName(Service)))
      Replica->onUnreachable(this->Time.monotonicNow());
  }

  ReachabilityAdmission Admission;
};

TEST_F(ReachabilityAdmissionTest, ServiceWithoutReachableSearcherIsRefused) {
  this->listSearchers(1, 2);
  EXPECT_FALSE(this->check(plainRoute(Repeatability::AtMostOnce)));
  this->markUnreachable("s0");
  const auto Refused = this->check(plainRoute(Repeatability::AtMostOnce));
  ASSERT_TRUE(Refused);
  EXPECT_GT(Refused->RetryAfter.count(), 0);
}

// An answer without the lost shard is better than a refusal.
TEST_F(ReachabilityAdmissionTest, QueryIsAdmittedWhileEnoughShardsCanAnswer) {
  this->listSearchers(4, 2);
  this->markUnreachable("s0");
  EXPECT_FALSE(this->check(gatherRoute(4, 0.75)));
  this->markUnreachable("s1");
  EXPECT_TRUE(this->check(gatherRoute(4, 0.75)));
}

} // namespace acaciacross::forwarding
