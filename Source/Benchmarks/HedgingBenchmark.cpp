#include "Benchmarks/HedgingBenchmark.h"

#include "Benchmarks/BenchFleet.h"
#include "Benchmarks/Percentile.h"

namespace acaciacross::benchmarks {

namespace {

// About a third of the capacity of the slots.
constexpr double QueriesPerSecond = 400.0;
constexpr std::chrono::seconds Duration{60};
constexpr double ExtraLoadTarget = 0.05;

// Extra load as the searchers see it: counted from the attempts that they
// received, so that it does not depend on the statistics of the queries.
double extraLoad(const HedgingRun &Run) {
  return static_cast<double>(Run.Searchers.Sent) /
             Run.Statistics.FirstAttempts -
         1.0;
}

double cancelledWorkFraction(const HedgingRun &Run) {
  return std::chrono::duration<double>(Run.Searchers.CancelledWork) /
         std::chrono::duration<double>(Run.Searchers.Busy);
}

} // namespace

std::vector<Measurement> HedgingBenchmark::run() {
  const HedgingRun Unhedged = measure(false);
  const HedgingRun Hedged = measure(true);
  const auto ToDouble = [](auto Value) { return static_cast<double>(Value); };
  return {
      {"hedging.p50_plain_ms", Unhedged.MedianMs},
      {"hedging.p50_ms", Hedged.MedianMs},
      {"hedging.p99_plain_ms", Unhedged.P99Ms},
      {"hedging.p99_ms", Hedged.P99Ms},
      {"hedging.p99_ratio", Hedged.P99Ms / Unhedged.P99Ms},
      {"hedging.extra_load", extraLoad(Hedged)},
      {"hedging.coverage_gain", Hedged.MeanCoverage - Unhedged.MeanCoverage},
      {"hedging.hedges", ToDouble(Hedged.Statistics.Hedges)},
      {"hedging.hedges_won", ToDouble(Hedged.Statistics.HedgesWon)},
      {"hedging.cancelled_before_start",
       ToDouble(Hedged.Searchers.CancelledBeforeStart)},
      {"hedging.cancelled_running",
       ToDouble(Hedged.Searchers.CancelledRunning)},
      {"hedging.cancelled_part_of_work", cancelledWorkFraction(Hedged)},
  };
}

HedgingRun HedgingBenchmark::measure(bool IsHedged) {
  BenchClass Plots;
  Plots.Definition.Name = common::ClassName("crew-plots");
  Plots.Definition.LatencyTarget = std::chrono::milliseconds(80);
  Plots.Definition.CoverageTarget = 0.99;
  Plots.Definition.ExtraLoadTarget = ExtraLoadTarget;
  Plots.IsHedged = IsHedged;
  testsupport::FakeSearcherSettings Settings;
  Settings.QueueLimit = 4;
  Settings.SlowReplyOneIn = 100;
  Settings.KeepsRecords = false;

  BenchFleet Fleet(1, {Plots}, Settings);
  Fleet.startArrivals(Plots.Definition.Name, QueriesPerSecond, Duration, false);
  Fleet.events().runAll();

  HedgingRun Run;
  std::vector<std::chrono::nanoseconds> Latencies;
  for (const AnswerRecord &Answer : Fleet.answers()) {
    Latencies.push_back(Answer.Latency);
    Run.MeanCoverage += Answer.Coverage;
  }
  Run.MeanCoverage /= static_cast<double>(Latencies.size());
  Run.MedianMs = percentileMs(Latencies, 50.0);
  Run.P99Ms = percentileMs(Latencies, 99.0);
  Run.Statistics = Fleet.statistics();
  Run.Searchers = Fleet.searchers().counts();
  return Run;
}

} // namespace acaciacross::benchmarks
