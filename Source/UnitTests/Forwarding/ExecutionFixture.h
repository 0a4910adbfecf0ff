#ifndef ACACIACROSS_UNITTESTS_FORWARDING_EXECUTIONFIXTURE_H
#define ACACIACROSS_UNITTESTS_FORWARDING_EXECUTIONFIXTURE_H

#include "FakeAttemptSender.h"

#include "Common/SeededRandom.h"
#include "Forwarding/AnswerSink.h"
#include "Forwarding/ForwardingDependencies.h"
#include "Forwarding/LatencyTargetPartialAnswerPolicy.h"
#include "Forwarding/LeastDelaySelector.h"
#include "Forwarding/TailHedgePolicy.h"
#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace acaciacross::forwarding {

/// Provides services "s0", "s1", ... with searchers "s0-a", "s0-b", "s0-c", and
/// a route with a latency target of 120 ms and a timeout of 1 s.
class ExecutionFixture : public testing::Test, public AnswerSink {
protected:
  ExecutionFixture() { this->Registry.setFleet({1, 1, 0, true}); }

  void listSearchers(std::size_t Services, std::size_t ReplicasPerService) {
    std::vector<SearcherEntry> Entries;
    for (std::size_t I = 0; I < Services; ++I)
      for (std::size_t J = 0; J < ReplicasPerService; ++J) {
        SearcherEntry Entry;
        Entry.Service = common::ServiceName("s" + std::to_string(I));
        Entry.Id = common::SearcherId(Entry.Service.Value + "-" +
                                      static_cast<char>('a' + J));
        Entry.Endpoint = {"127.0.0.1",
                          static_cast<std::uint16_t>(1000 + I * 10 + J)};
        Entries.push_back(Entry);
      }
    this->Registry.setSearchers(Entries);
  }

  static Route plainRoute(Repeatability Repeat) {
    Route Target;
    Target.Name = "route";
    Target.Host = "host.example";
    Target.Prefix = "/p/";
    Target.Repeat = Repeat;
    Target.Timeout = std::chrono::milliseconds(1'000);
    Target.LatencyTarget = std::chrono::milliseconds(120);
    Target.MaxAttempts = 2;
    Target.Services = {{common::ServiceName("s0"), 1.0}};
    return Target;
  }

  static Route gatherRoute(std::size_t Shards, double MinCoverage) {
    Route Target = plainRoute(Repeatability::Repeatable);
    Target.Services.clear();
    GatherSettings Settings;
    for (std::size_t I = 0; I < Shards; ++I)
      Settings.Shards.emplace_back("s" + std::to_string(I));
    Settings.TopRecords = 3;
    Settings.MinCoverage = MinCoverage;
    Target.Gather = Settings;
    return Target;
  }

  std::shared_ptr<ForwardRequest> request(const Route &Target) {
    const auto Table = std::make_shared<const RoutingTable>(
        1, std::vector{Target}, std::map<common::ServiceName, unsigned>(),
        CallerLimits());
    this->Registry.setTable(Table);
    auto Request = std::make_shared<ForwardRequest>();
    Request->Id = common::RequestId("r1");
    Request->Table = Table;
    Request->Target = &Table->routes().front();
    Request->ArrivedAt = this->Time.monotonicNow();
    Request->Deadline = Request->ArrivedAt + Target.Timeout;
    return Request;
  }

  void onAnswer(Answer NewAnswer) override {
    EXPECT_FALSE(this->Result.has_value()) << "a request has one answer";
    this->Result = std::move(NewAnswer);
  }

  std::size_t openAttempts() const {
    std::size_t OpenCount = 0;
    for (const FakeAttemptSender::StartedAttempt &Attempt :
         this->Sender.Attempts)
      OpenCount += Attempt.IsOpen ? 1 : 0;
    return OpenCount;
  }

  testsupport::ManualClock Time;
  common::SeededRandom Random{1};
  ServiceRegistry Registry{
      RetryBudgetSettings{0.2, 1'000.0, std::chrono::milliseconds(10'000)},
      ColdStartSettings{1.5, 5.0},
      common::RegionMap({{"z1", "r1"}, {"z2", "r1"}, {"z3", "r2"}})};
  FakeAttemptSender Sender;
  LeastDelaySelector Selector{this->Random, ""};
  TailHedgePolicy Hedges;
  LatencyTargetPartialAnswerPolicy PartialAnswers;
  ForwardingDependencies Dependencies{this->Time,   this->Registry,
                                      this->Sender, this->Selector,
                                      this->Hedges, this->PartialAnswers};
  std::optional<Answer> Result;
};

} // namespace acaciacross::forwarding

#endif
