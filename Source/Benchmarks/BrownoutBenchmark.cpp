#include "Benchmarks/BrownoutBenchmark.h"

#include "Benchmarks/BenchFleet.h"

#include <algorithm>

namespace acaciacross::benchmarks {

namespace {

constexpr double QueriesPerSecond = 300.0;
constexpr int HealthySeconds = 10;
constexpr int FailingUntil = 30;
constexpr int TotalSeconds = 45;
constexpr double ExtraLoadTarget = 0.05;
// Queries that started before the end of the failure are over by then.
constexpr std::chrono::seconds Settling{1};

void setFailing(BenchFleet &Fleet, std::uint64_t OneIn) {
  // Every other searcher: each shard has one or two of three replicas failing.
  for (std::uint32_t I = 0; I < 30; ++I)
    if ((I / 10 + I) % 2 == 0)
      Fleet.searchers().failOneIn(common::SearcherIndex(I), OneIn);
}

double meanCoverage(const BenchFleet &Fleet, common::MonotonicTime Begin,
                    common::MonotonicTime End) {
  double Sum = 0.0;
  std::size_t Count = 0;
  for (const AnswerRecord &Each : Fleet.answers()) {
    if (Each.Arrived < Begin || Each.Arrived >= End)
      continue;
    Sum += Each.Coverage;
    ++Count;
  }
  return Sum / static_cast<double>(Count);
}

} // namespace

std::vector<Measurement> BrownoutBenchmark::run() {
  BenchClass Plots;
  Plots.Definition.Name = common::ClassName("crew-plots");
  Plots.Definition.LatencyTarget = std::chrono::milliseconds(80);
  Plots.Definition.CoverageTarget = 0.99;
  Plots.Definition.ExtraLoadTarget = ExtraLoadTarget;
  testsupport::FakeSearcherSettings Settings;
  Settings.QueueLimit = 4;
  Settings.KeepsRecords = false;

  BenchFleet Fleet(1, {Plots}, Settings);
  const common::MonotonicTime Begin = Fleet.events().now();
  Fleet.arrive(Plots.Definition.Name, QueriesPerSecond,
               std::chrono::seconds(TotalSeconds), false);
  double WorstExcess = 0.0;
  std::uint64_t SentBefore = 0;
  std::uint32_t FirstBefore = 0;
  for (int Second = 0; Second < TotalSeconds; ++Second) {
    if (Second == HealthySeconds)
      setFailing(Fleet, 1);
    if (Second == FailingUntil)
      setFailing(Fleet, 0);
    Fleet.events().runUntil(Begin + std::chrono::seconds(Second + 1));
    const std::uint64_t Sent = Fleet.searchers().counts().Sent - SentBefore;
    const std::uint32_t First = Fleet.statistics().FirstAttempts - FirstBefore;
    WorstExcess = std::max(WorstExcess, static_cast<double>(Sent) -
                                            First * (1.0 + ExtraLoadTarget));
    SentBefore += Sent;
    FirstBefore += First;
  }
  Fleet.events().runAll();
  const query::QueryStatistics Work = Fleet.statistics();
  const auto Sent = static_cast<double>(Fleet.searchers().counts().Sent);
  const auto At = [&](int Second) {
    return Begin + std::chrono::seconds(Second);
  };
  return {
      {"brownout.failed_attempts",
       static_cast<double>(Fleet.searchers().counts().Failed)},
      {"brownout.extra_load", Sent / Work.FirstAttempts - 1.0},
      {"brownout.worst_second_excess", WorstExcess},
      {"brownout.coverage_before",
       meanCoverage(Fleet, Begin, At(HealthySeconds) - Settling)},
      {"brownout.coverage_during",
       meanCoverage(Fleet, At(HealthySeconds), At(FailingUntil))},
      {"brownout.coverage_after",
       meanCoverage(Fleet, At(FailingUntil) + Settling, At(TotalSeconds))},
  };
}

} // namespace acaciacross::benchmarks
