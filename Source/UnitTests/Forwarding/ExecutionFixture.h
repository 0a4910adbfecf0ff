#ifndef ACACIACROSS_UNITTESTS_FORWARDING_EXECUTIONFIXTURE_H
#define ACACIACROSS_UNITTESTS_FORWARDING_EXECUTIONFIXTURE_H

#include "FakeAttemptPort.h"

#include "Common/SeededRandom.h"
#include "Forwarding/AnswerSink.h"
#include "Forwarding/ForwardingTools.h"
#include "Forwarding/LeastDelayChoice.h"
#include "Forwarding/TailHedgeRule.h"
#include "Forwarding/TargetPartialRule.h"
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
  ExecutionFixture() { this->Book.setFleet({1, 1, 0, true}); }

  void listSearchers(std::size_t Services, std::size_t ReplicasPerService) {
    std::vector<SearcherEntry> Entries;
    for (std::size_t I = 0; I < Services; ++I)
      for (std::size_t J = 0; J < ReplicasPerService; ++J) {
        SearcherEntry Entry;
        Entry.Service = common::ServiceName("s" + std::to_string(I));
        Entry.Id = common::SearcherId(Entry.Service.Value + "-" +
                                      static_cast<char>('a' + J));
        Entry.Where = {"127.0.0.1",
                       static_cast<std::uint16_t>(1000 + I * 10 + J)};
        Entries.push_back(Entry);
      }
    this->Book.setSearchers(Entries);
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
    GatherRule Rule;
    for (std::size_t I = 0; I < Shards; ++I)
      Rule.Shards.emplace_back("s" + std::to_string(I));
    Rule.TopRecords = 3;
    Rule.MinCoverage = MinCoverage;
    Target.Gather = Rule;
    return Target;
  }

  std::shared_ptr<ForwardRequest> request(const Route &Target) {
    const auto Table = std::make_shared<const RoutingTable>(
        1, std::vector{Target}, std::map<common::ServiceName, unsigned>(),
        CallerLimits());
    this->Book.setTable(Table);
    auto Request = std::make_shared<ForwardRequest>();
    Request->Id = common::RequestId("r1");
    Request->Table = Table;
    Request->Target = &Table->routes().front();
    Request->ArrivedAt = this->Time.monotonicNow();
    Request->AnswerBy = Request->ArrivedAt + Target.Timeout;
    return Request;
  }

  void onAnswer(Answer NewAnswer) override {
    EXPECT_FALSE(this->Result.has_value()) << "a request has one answer";
    this->Result = std::move(NewAnswer);
  }

  std::size_t openAttempts() const {
    std::size_t OpenCount = 0;
    for (const FakeAttemptPort::StartedAttempt &Attempt : this->Port.Attempts)
      OpenCount += Attempt.IsOpen ? 1 : 0;
    return OpenCount;
  }

  testsupport::ManualClock Time;
  common::SeededRandom Random{1};
  ServiceBook Book{
      RepeatBudgetSettings{0.2, 1'000.0, std::chrono::milliseconds(10'000)}};
  FakeAttemptPort Port;
  LeastDelayChoice Choice{this->Random};
  TailHedgeRule Hedges;
  TargetPartialRule Partials;
  ForwardingTools Tools{this->Time,   this->Book,   this->Port,
                        this->Choice, this->Hedges, this->Partials};
  std::optional<Answer> Result;
};

} // namespace acaciacross::forwarding

#endif
