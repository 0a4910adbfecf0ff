#include "Forwarding/AvailabilityForecast.h"
#include "Forwarding/DemandShares.h"
#include "Forwarding/GatherExecution.h"
#include "Forwarding/LoadAdmission.h"
#include "Forwarding/ReachabilityAdmission.h"
#include "Forwarding/SingleExecution.h"

#include "ExecutionFixture.h"

namespace acaciacross::forwarding {

using std::chrono::milliseconds;

/// Which searchers get the requests of routes with homes. Each service has the
/// searchers "-a" and "-b" in the region "r1", "-c" in "r2" and "-d" in a
/// failure domain that lies in no known region.
class HomesTest : public ExecutionFixture {
protected:
  void list(std::size_t Services, const std::string &Replicas = "abcd") {
    std::vector<SearcherEntry> Entries;
    for (std::size_t I = 0; I < Services; ++I)
      for (const char Replica : Replicas) {
        SearcherEntry Entry;
        Entry.Service = common::ServiceName("s" + std::to_string(I));
        Entry.Id = common::SearcherId(Entry.Service.Value + "-" + Replica);
        Entry.FailureDomain = "z" + std::to_string(Replica - 'a' + 1);
        Entries.push_back(Entry);
      }
    this->Registry.setSearchers(Entries);
  }

  static Route homed(Route Target, std::vector<std::string> Regions) {
    Target.AllowedRegions = std::move(Regions);
    return Target;
  }

  std::string replicasOf(const Route &Target) const {
    std::string Names;
    for (const auto &Replica : this->Registry.replicas(S0, Target))
      Names += Replica->entry().Id.Value.back();
    return Names;
  }

  std::optional<Refusal> admit(const Route &Target) {
    const auto Request = this->request(Target);
    const std::vector Services{S0};
    const common::MonotonicTime Now = this->Time.monotonicNow();
    if (auto Refused = ReachabilityAdmission().check(*Request, Services,
                                                     this->Registry, Now))
      return Refused;
    return LoadAdmission(this->Sender, this->Demand, this->Random)
        .check(*Request, Services, this->Registry, Now);
  }

  DemandShares Demand;
  const common::ServiceName S0{"s0"};
  const Route Plain = plainRoute(Repeatability::Repeatable);
};

TEST_F(HomesTest, RouteReachesTheSearchersOfItsHomesOnly) {
  this->list(1);
  EXPECT_EQ(this->replicasOf(this->Plain), "abcd") << "no list is no bound";
  EXPECT_EQ(this->replicasOf(homed(this->Plain, {"r1"})), "ab");
  EXPECT_EQ(this->replicasOf(homed(this->Plain, {"r2"})), "c");
  EXPECT_EQ(this->replicasOf(homed(this->Plain, {"r2", "r1"})), "abc");
  EXPECT_EQ(this->replicasOf(homed(this->Plain, {"r9"})), "");
}

TEST_F(HomesTest, SearchersThatAreListedLaterAreFound) {
  this->list(1, "ac");
  EXPECT_EQ(this->replicasOf(homed(this->Plain, {"r1"})), "a");
  this->list(1, "bc");
  EXPECT_EQ(this->replicasOf(homed(this->Plain, {"r1"})), "b");
}

TEST_F(HomesTest, NoAttemptOfAnyKindLeavesTheHomes) {
  this->list(1);
  for (int I = 0; I < 20; ++I) {
    SingleExecution Running(this->Dependencies,
                            this->request(homed(this->Plain, {"r2"})), S0,
                            *this);
    Running.start();
    this->Time.advance(milliseconds(200));
    Running.tick();
    this->Sender.end(this->Sender.Attempts.size() - 1, AttemptEnd::NotRun, 503);
    ASSERT_TRUE(this->Result);
    EXPECT_EQ(this->Result->Kind, AnswerKind::Refused);
    this->Result.reset();
  }
  ASSERT_EQ(this->Sender.Attempts.size(), 20U);
  for (const auto &Attempt : this->Sender.Attempts)
    EXPECT_EQ(Attempt.Searcher, "s0-c");
}

// The searchers elsewhere are no help to the request.
TEST_F(HomesTest, RequestDoesNotWaitForAConnectionOutsideItsHomes) {
  this->list(1, "abd");
  SingleExecution Running(this->Dependencies,
                          this->request(homed(this->Plain, {"r2"})), S0, *this);
  Running.start();
  EXPECT_TRUE(this->Sender.Attempts.empty());
  EXPECT_TRUE(this->Sender.WaitingListeners.empty());
  ASSERT_TRUE(this->Result);
  EXPECT_EQ(this->Result->Kind, AnswerKind::Refused);
}

TEST_F(HomesTest, RequestWithoutASearcherInItsHomesIsNotAdmitted) {
  this->list(1, "abd");
  EXPECT_FALSE(this->admit(this->Plain));
  const auto Refused = this->admit(homed(this->Plain, {"r2"}));
  ASSERT_TRUE(Refused);
  EXPECT_EQ(Refused->Code, common::ResultCode::NoUsableReplica);
}

TEST_F(HomesTest, ForecastCountsTheSearchersOfTheHomes) {
  this->list(1);
  this->Registry.recordNotice(*this->Registry.replicas(this->S0)[2],
                              {false, milliseconds(3'000), ""},
                              this->Time.monotonicNow());
  const auto Refused = this->admit(homed(this->Plain, {"r2"}));
  ASSERT_TRUE(Refused);
  EXPECT_EQ(Refused->RetryAfter, milliseconds(3'000));
}

TEST_F(HomesTest, QueuesOutsideTheHomesDoNotCountForAdmission) {
  this->list(1);
  for (const std::size_t Busy : {0U, 1U, 3U})
    this->Registry.replicas(this->S0)[Busy]->onLoadReported(
        this->Time.monotonicNow(), {2, 400, 2});
  EXPECT_FALSE(this->admit(homed(this->Plain, {"r2"})));
  const auto Refused = this->admit(homed(this->Plain, {"r1"}));
  ASSERT_TRUE(Refused);
  EXPECT_EQ(Refused->Code, common::ResultCode::Overloaded);
}

TEST_F(HomesTest, QueryLeavesOutAShardWithoutASearcherInItsHomes) {
  this->list(2);
  std::vector<SearcherEntry> Entries;
  for (const auto &[Id, Record] : this->Registry.allSearchers())
    if (Id.Value != "s1-c")
      Entries.push_back(Record->entry());
  this->Registry.setSearchers(Entries);
  GatherExecution Running(this->Dependencies,
                          this->request(homed(gatherRoute(2, 0.5), {"r2"})),
                          *this);
  Running.start();
  ASSERT_EQ(this->Sender.Attempts.size(), 1U);
  EXPECT_EQ(this->Sender.Attempts.front().Searcher, "s0-c");
  this->Sender.answer(0, std::string(16, 'a'));
  ASSERT_TRUE(this->Result);
  EXPECT_EQ(this->Result->MissingShards, 1U);
}

} // namespace acaciacross::forwarding
