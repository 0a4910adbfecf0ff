#include "Forwarding/LoadAdmission.h"

#include "ExecutionFixture.h"

#include <cmath>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace acaciacross::forwarding {

using std::chrono::milliseconds;

/// Plays callers that together ask for more than a searcher with four slots can
/// do, in virtual time. A request takes 10 ms, so 400 a second can be served.
class AdmissionLoadTest : public ExecutionFixture {
protected:
  static constexpr double RequestsPerMs = 0.4;
  static constexpr unsigned Slots = 4;

  struct Source {
    std::string Caller;
    std::size_t RouteIndex;
    double RequestsPerMs;
  };
  struct Counts {
    int Asked = 0;
    int InTime = 0;

    double share() const { return 1.0 * this->InTime / this->Asked; }
  };

  void SetUp() override { this->listSearchers(1, 1); }

  Route addRoute(const std::string &Name, int Priority, milliseconds Target) {
    Route Added = plainRoute(Repeatability::Repeatable);
    Added.Name = Name;
    Added.Prefix = "/" + Name + "/";
    Added.Priority = Priority;
    Added.LatencyTarget = Target;
    for (int I = 0; I < 100; ++I)
      this->Registry.statistics(Name)->add(milliseconds(10));
    return Added;
  }

  void play(const std::vector<Route> &Routes,
            const std::vector<Source> &Sources) {
    const auto Table = std::make_shared<const RoutingTable>(
        1, Routes, std::map<common::ServiceName, unsigned>(), CallerLimits());
    this->Registry.setTable(Table);
    std::vector<double> Due(Sources.size(), 0.0);
    for (int Ms = 0; Ms < 20'000; ++Ms) {
      this->Time.advance(milliseconds(1));
      this->Waiting = std::max(0.0, this->Waiting - RequestsPerMs);
      for (std::size_t I = 0; I < Sources.size(); ++I)
        for (Due[I] += Sources[I].RequestsPerMs; Due[I] >= 1.0; Due[I] -= 1.0)
          this->ask(Table, Sources[I]);
    }
  }

  void print(const std::string &Title) const {
    for (const auto &[Caller, Counted] : this->ByCaller)
      std::cout << Title << ", caller " << Caller << ": asked " << Counted.Asked
                << ", in time " << Counted.share() << '\n';
  }

  std::map<std::string, Counts> ByCaller;
  /// Requests in the queue of the searcher.
  double Waiting = 0.0;

private:
  void ask(const std::shared_ptr<const RoutingTable> &Table,
           const Source &From) {
    const common::MonotonicTime Now = this->Time.monotonicNow();
    const common::ServiceName Service("s0");
    this->Registry.replicas(Service).front()->onLoadReported(
        Now, {Slots, static_cast<unsigned>(std::lround(this->Waiting)), Slots});
    ForwardRequest Request;
    Request.Caller = common::CallerHost(From.Caller);
    Request.Table = Table;
    Request.Target = &Table->routes()[From.RouteIndex];
    Counts &Counted = this->ByCaller[From.Caller];
    ++Counted.Asked;
    const std::vector<common::ServiceName> Services{Service};
    if (this->Policy.check(Request, Services, this->Registry, Now))
      return;
    const milliseconds Wait(std::lround(this->Waiting / RequestsPerMs));
    Counted.InTime +=
        Wait + milliseconds(10) <= Request.Target->LatencyTarget ? 1 : 0;
    this->Waiting += 1.0;
  }

  DemandShares Demand;
  LoadAdmission Policy{this->Sender, this->Demand, this->Random};
};

// The most urgent requests have the shortest targets, and so the shortest queue
// is too long for them first.
TEST_F(AdmissionLoadTest, UrgentRequestsAreServedAsOftenAsOthersInABurst) {
  this->play({this->addRoute("urgent", 0, milliseconds(60)),
              this->addRoute("batch", 1, milliseconds(150))},
             {{"urgent", 0, 0.1}, {"batch", 1, 0.9}});
  this->print("by priority");
  const double Urgent = this->ByCaller.at("urgent").share();
  const double Batch = this->ByCaller.at("batch").share();
  EXPECT_GE(Urgent, Batch - 0.05);
  EXPECT_GE(Batch, 0.25 * 0.4) << "a quarter of what can be served of all";
}

// The figures that the decision is measured against.
TEST_F(AdmissionLoadTest, EqualPrioritiesRefuseTheShortTargetInABurst) {
  this->play({this->addRoute("urgent", 0, milliseconds(60)),
              this->addRoute("batch", 0, milliseconds(150))},
             {{"urgent", 0, 0.1}, {"batch", 1, 0.9}});
  this->print("equal priorities");
  EXPECT_LT(this->ByCaller.at("urgent").share(), 0.1);
}

// A less urgent route with a short target must not be starved by an urgent one
// with a long target.
TEST_F(AdmissionLoadTest, LessUrgentRequestsKeepAQuarterOfTheShare) {
  this->play({this->addRoute("urgent", 0, milliseconds(150)),
              this->addRoute("batch", 1, milliseconds(60))},
             {{"urgent", 0, 0.9}, {"batch", 1, 0.1}});
  this->print("long urgent target");
  EXPECT_GE(this->ByCaller.at("batch").share(), 0.25 * 0.4);
}

TEST_F(AdmissionLoadTest, CallerThatPressesLeavesTheOthersTheirShare) {
  this->play({this->addRoute("route", 0, milliseconds(100))},
             {{"presses", 0, 1.0}, {"b", 0, 0.05}, {"c", 0, 0.05}});
  this->print("shares of callers");
  for (const char *Caller : {"b", "c"})
    EXPECT_GE(this->ByCaller.at(Caller).share(), 0.9) << Caller;
  EXPECT_GE(this->ByCaller.at("presses").share(), 0.2)
      << "what the others leave goes to the caller that presses";
}

// With room for all, nobody is refused for its share or its priority.
TEST_F(AdmissionLoadTest, RoomForAllRefusesNobody) {
  this->play({this->addRoute("urgent", 0, milliseconds(60)),
              this->addRoute("batch", 1, milliseconds(150))},
             {{"urgent", 0, 0.05}, {"batch", 1, 0.25}, {"few", 1, 0.01}});
  for (const char *Caller : {"urgent", "batch", "few"})
    EXPECT_EQ(this->ByCaller.at(Caller).share(), 1.0) << Caller;
}

// A refused request of a route that is hardly used tells nothing of how often
// the route is served. Its latency is not known, so that it seems to wait long.
TEST_F(AdmissionLoadTest, NobodyYieldsToARouteThatIsHardlyUsed) {
  this->Waiting = 20.0;
  Route Rare = plainRoute(Repeatability::Repeatable);
  Rare.Name = "rare";
  Rare.Priority = 1;
  Rare.LatencyTarget = milliseconds(1'000);
  this->play({Rare, this->addRoute("usual", 0, milliseconds(400))},
             {{"rare", 0, 0.0005}, {"usual", 1, 0.4}});
  EXPECT_EQ(this->ByCaller.at("usual").share(), 1.0);
}

// A queue that urgent requests can bear is no reason to refuse others:
// searchers pause for a moment all the time.
TEST_F(AdmissionLoadTest, NobodyYieldsWhileUrgentRequestsAreServed) {
  this->Waiting = 5.0;
  this->play({this->addRoute("urgent", 0, milliseconds(60)),
              this->addRoute("batch", 1, milliseconds(150))},
             {{"urgent", 0, 0.05}, {"batch", 1, 0.35}});
  for (const char *Caller : {"urgent", "batch"})
    EXPECT_EQ(this->ByCaller.at(Caller).share(), 1.0) << Caller;
}

} // namespace acaciacross::forwarding
