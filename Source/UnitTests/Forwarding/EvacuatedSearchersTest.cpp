#include "Forwarding/GatherExecution.h"
#include "Forwarding/ReachabilityAdmission.h"
#include "Forwarding/SingleExecution.h"

#include "ExecutionFixture.h"

#include <algorithm>

namespace acaciacross::forwarding {

using std::chrono::milliseconds;

/// What callers get while failure domains are evacuated. Each service has the
/// searchers "-a" in the domain "z1" and "-b" in "z2".
class EvacuatedSearchersTest : public ExecutionFixture {
protected:
  void listInTwoDomains(std::size_t Services) {
    std::vector<SearcherEntry> Entries;
    for (std::size_t I = 0; I < Services; ++I)
      for (const char *Replica : {"a", "b"}) {
        SearcherEntry Entry;
        Entry.Service = common::ServiceName("s" + std::to_string(I));
        Entry.Id = common::SearcherId(Entry.Service.Value + "-" + Replica);
        Entry.FailureDomain = Replica == std::string("a") ? "z1" : "z2";
        Entries.push_back(Entry);
      }
    this->Registry.setSearchers(Entries);
  }

  std::size_t attemptsAt(const std::string &Searcher) const {
    return static_cast<std::size_t>(
        std::ranges::count(this->Sender.Attempts, Searcher,
                           &FakeAttemptSender::StartedAttempt::Searcher));
  }

  std::optional<Refusal> admit(const Route &Target) {
    const auto Request = this->request(Target);
    const std::vector Services{common::ServiceName("s0")};
    return ReachabilityAdmission().check(*Request, Services, this->Registry,
                                         this->Time.monotonicNow());
  }

  const Route Plain = plainRoute(Repeatability::Repeatable);
};

TEST_F(EvacuatedSearchersTest, NoAttemptOfAnyKindGoesToAnEvacuatedDomain) {
  this->listInTwoDomains(1);
  this->Registry.setEvacuatedDomains({"z1"});
  for (int I = 0; I < 20; ++I) {
    SingleExecution Running(this->Dependencies, this->request(this->Plain),
                            common::ServiceName("s0"), *this);
    Running.start();
    this->Time.advance(milliseconds(200));
    Running.tick();
    this->Sender.end(this->Sender.Attempts.size() - 1, AttemptEnd::NotRun, 503);
    this->Result.reset();
  }
  EXPECT_EQ(this->attemptsAt("s0-a"), 0U);
  EXPECT_EQ(this->attemptsAt("s0-b"), 20U);
}

// The searchers of an evacuated domain may be replaced meanwhile.
TEST_F(EvacuatedSearchersTest, SearcherListedLaterIsUnlistedAtOnce) {
  this->Registry.setEvacuatedDomains({"z1"});
  this->listInTwoDomains(1);
  const auto Replicas = this->Registry.replicas(common::ServiceName("s0"));
  EXPECT_FALSE(Replicas[0]->isListed());
  EXPECT_FALSE(Replicas[0]->isUsable(this->Time.monotonicNow()));
  EXPECT_TRUE(Replicas[1]->isListed());
  this->Registry.setEvacuatedDomains({});
  EXPECT_TRUE(Replicas[0]->isListed());
}

TEST_F(EvacuatedSearchersTest, SearcherThatMovesIntoTheDomainIsUnlisted) {
  this->listInTwoDomains(1);
  this->Registry.setEvacuatedDomains({"z1"});
  SearcherEntry Moved =
      this->Registry.replicas(common::ServiceName("s0"))[1]->entry();
  Moved.FailureDomain = "z1";
  this->Registry.setSearchers({Moved});
  EXPECT_FALSE(
      this->Registry.replicas(common::ServiceName("s0"))[0]->isListed());
}

TEST_F(EvacuatedSearchersTest, ServiceWithoutAnotherDomainRefusesAtOnce) {
  this->listInTwoDomains(1);
  this->Registry.setEvacuatedDomains({"z1"});
  EXPECT_FALSE(this->admit(this->Plain));
  this->Registry.setEvacuatedDomains({"z1", "z2"});
  const auto Refused = this->admit(this->Plain);
  ASSERT_TRUE(Refused);
  EXPECT_EQ(Refused->Code, common::ResultCode::NoUsableReplica);
}

// The request was admitted before the evacuation.
TEST_F(EvacuatedSearchersTest,
       RequestTakenBackWithoutAnotherSearcherIsRefused) {
  this->listInTwoDomains(1);
  SingleExecution Running(this->Dependencies, this->request(this->Plain),
                          common::ServiceName("s0"), *this);
  Running.start();
  this->Registry.setEvacuatedDomains({"z1", "z2"});
  this->Sender.end(0, AttemptEnd::NotSent);
  ASSERT_TRUE(this->Result);
  EXPECT_EQ(this->Result->Kind, AnswerKind::Refused);
  EXPECT_EQ(this->Sender.Attempts.size(), 1U);
}

TEST_F(EvacuatedSearchersTest, QueryUsesTheSearchersOfTheOtherDomain) {
  this->listInTwoDomains(4);
  this->Registry.setEvacuatedDomains({"z2"});
  GatherExecution Running(this->Dependencies,
                          this->request(gatherRoute(4, 0.75)), *this);
  Running.start();
  ASSERT_EQ(this->Sender.Attempts.size(), 4U);
  for (const auto &Attempt : this->Sender.Attempts)
    EXPECT_TRUE(Attempt.Searcher.ends_with("-a")) << Attempt.Searcher;
}

} // namespace acaciacross::forwarding
