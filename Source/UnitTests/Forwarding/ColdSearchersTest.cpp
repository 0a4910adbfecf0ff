#include "Forwarding/AvailabilityForecast.h"
#include "Forwarding/GatherExecution.h"
#include "Forwarding/ReachabilityAdmission.h"

#include "ExecutionFixture.h"

namespace acaciacross::forwarding {

using std::chrono::milliseconds;

/// Searchers "s0-a", "s0-b" of a service "s0" that tolerates one request a
/// second while cold; this VM is alone. "s1-a" is of a service without a
/// tolerance.
class ColdSearchersTest : public ExecutionFixture {
protected:
  ColdSearchersTest() {
    for (const char *Id : {"s0-a", "s0-b", "s1-a"}) {
      SearcherEntry Entry;
      Entry.Id = common::SearcherId(Id);
      Entry.Service = common::ServiceName(std::string(Id).substr(0, 2));
      Entry.Endpoint = {"127.0.0.1", 1'000};
      Entry.StartedUnixMs = 1;
      this->Entries.push_back(Entry);
    }
    this->publish();
    this->setTolerance(1.0);
    for (int I = 0; I < 20; ++I) {
      this->Time.advance(milliseconds(200));
      this->passOnFleet();
    }
  }

  void setTolerance(double RequestsPerSecond) {
    RoutingTable::ColdStartMap ColdStarts;
    ColdStarts[common::ServiceName("s0")] = {milliseconds(3'000),
                                             RequestsPerSecond};
    this->Table = std::make_shared<const RoutingTable>(
        1,
        std::vector{plainRoute(Repeatability::Repeatable), gatherRoute(2, 0.5)},
        std::map<common::ServiceName, unsigned>(), CallerLimits(), ColdStarts);
    this->Registry.setTable(this->Table);
  }

  void passOnFleet() {
    this->Registry.setMembers(
        {common::VmId("vm"), {common::VmId("vm")}, {common::VmId("vm")}, true},
        this->now());
  }

  void publish() { this->Registry.setSearchers(this->Entries, this->now()); }

  void publishCold(std::size_t Index, milliseconds ColdLeft) {
    this->Entries[Index].ColdLeft = ColdLeft;
    this->publish();
  }

  common::MonotonicTime now() const { return this->Time.monotonicNow(); }

  ReplicaRecord &record(std::size_t Index) {
    return *this->Registry.allSearchers().at(this->Entries[Index].Id);
  }

  /// Sends as many requests as are allowed, up to 50.
  int sendAll(std::size_t Index) {
    int Count = 0;
    for (; Count < 50 && this->record(Index).isUsable(this->now()); ++Count)
      this->record(Index).onSent(this->now());
    return Count;
  }

  std::string choose() {
    const auto Chosen = this->Selector.choose(
        this->Registry.replicas(common::ServiceName("s0")), {}, this->Sender,
        this->now(), milliseconds(10));
    return Chosen == nullptr ? "none" : Chosen->entry().Id.Value;
  }

  std::shared_ptr<const ForwardRequest> requestFor(std::size_t RouteIndex) {
    auto Request = std::make_shared<ForwardRequest>();
    Request->Id = common::RequestId("r1");
    Request->Table = this->Table;
    Request->Target = &this->Table->routes()[RouteIndex];
    Request->ArrivedAt = this->now();
    Request->Deadline = this->now() + milliseconds(1'000);
    return Request;
  }

  std::optional<Refusal> admit() {
    const std::vector Services{common::ServiceName("s0")};
    return ReachabilityAdmission().check(*this->requestFor(0), Services,
                                         this->Registry, this->now());
  }

  std::vector<SearcherEntry> Entries;
  std::shared_ptr<const RoutingTable> Table;
};

TEST_F(ColdSearchersTest, SearcherFirstSeenColdIsLimited) {
  this->Entries[0].Id = common::SearcherId("s0-new");
  this->publishCold(0, milliseconds(3'000));
  EXPECT_EQ(this->sendAll(0), 1);
  EXPECT_EQ(this->sendAll(1), 50);
}

TEST_F(ColdSearchersTest, SearcherRestartedUnderItsIdIsLimited) {
  this->Entries[0].StartedUnixMs = 2;
  this->publishCold(0, milliseconds(3'000));
  EXPECT_EQ(this->sendAll(0), 1);
}

// Each change of any entry passes on all of them.
TEST_F(ColdSearchersTest, EntryThatIsPassedOnAgainDoesNotProlongTheColdTime) {
  this->publishCold(0, milliseconds(3'000));
  for (int I = 0; I < 15; ++I) {
    this->Time.advance(milliseconds(200));
    this->publish();
  }
  EXPECT_EQ(this->sendAll(0), 50);
}

// Otherwise each lapse of the entry would bring a new allowance.
TEST_F(ColdSearchersTest, SearcherThatDisappearsAndReturnsKeepsItsAllowance) {
  this->publishCold(0, milliseconds(3'000));
  EXPECT_EQ(this->sendAll(0), 1);
  this->Registry.setSearchers({}, this->now());
  this->Time.advance(milliseconds(300));
  this->publish();
  EXPECT_EQ(this->sendAll(0), 0);
  this->Time.advance(milliseconds(900));
  EXPECT_EQ(this->sendAll(0), 1);
}

TEST_F(ColdSearchersTest, ToleranceThatComesLaterLimitsAColdSearcher) {
  this->Registry.setTable(std::make_shared<const RoutingTable>(
      2, std::vector<Route>(), std::map<common::ServiceName, unsigned>(),
      CallerLimits()));
  this->publishCold(0, milliseconds(3'000));
  EXPECT_EQ(this->sendAll(0), 50);
  this->setTolerance(1.0);
  this->Time.advance(milliseconds(1'200));
  EXPECT_EQ(this->sendAll(0), 1);
}

TEST_F(ColdSearchersTest, WarmReplicaIsChosenBeforeAColdOne) {
  this->publishCold(0, milliseconds(3'000));
  for (int I = 0; I < 20; ++I) {
    EXPECT_EQ(this->choose(), "s0-b");
    this->record(1).onSent(this->now());
  }
  this->Sender.FullSearchers.insert("s0-b");
  EXPECT_EQ(this->choose(), "s0-a");
}

TEST_F(ColdSearchersTest, RefusalNamesTheTimeOfTheNextAllowedRequest) {
  this->publishCold(0, milliseconds(3'000));
  this->publishCold(1, milliseconds(3'000));
  EXPECT_FALSE(this->admit());
  this->sendAll(0);
  this->Time.advance(milliseconds(400));
  this->sendAll(1);
  EXPECT_EQ(this->choose(), "none");
  const auto Refused = this->admit();
  ASSERT_TRUE(Refused);
  EXPECT_EQ(Refused->RetryAfter,
            ColdStartAllowance::Window - milliseconds(400));
  EXPECT_GT(this->record(0).coldStart().withheldCount(), 0U);
  this->Time.advance(Refused->RetryAfter);
  EXPECT_FALSE(this->admit());
}

// Waiting for the allowance would cost the answer its target.
TEST_F(ColdSearchersTest, QueryAnswersAtOnceWithoutAShardThatIsUsedUp) {
  this->publishCold(0, milliseconds(3'000));
  this->publishCold(1, milliseconds(3'000));
  this->sendAll(0);
  this->sendAll(1);
  GatherExecution Running(this->Dependencies, this->requestFor(1), *this);
  Running.start();
  ASSERT_EQ(this->Sender.Attempts.size(), 1U);
  this->Sender.answer(0, std::string(16, 'a'));
  ASSERT_TRUE(this->Result);
  EXPECT_EQ(this->Result->MissingShards, 1U);
}

// The rate at which a searcher crashes has no relation to the bound.
TEST_F(ColdSearchersTest, LimitIsWithinToleranceAndHalfTheBound) {
  const ColdStartSettings Bounds{1.5, 5.0};
  const auto Limit = [&](double PerSecond) {
    return ColdSearchers::fleetLimit({milliseconds(0), PerSecond}, Bounds);
  };
  EXPECT_EQ(Limit(0.2), 1U);
  EXPECT_EQ(Limit(2.0), 2U);
  EXPECT_EQ(Limit(10.0), 10U);
  EXPECT_EQ(Limit(100.0), 77U);
  EXPECT_EQ(ColdSearchers::fleetLimit({milliseconds(0), 1.0}, {}), 0U);
}

} // namespace acaciacross::forwarding
