#include "Benchmarks/HedgingBenchmark.h"

#include "Benchmarks/BenchFleet.h"
#include "Benchmarks/Percentile.h"

namespace acaciacross::benchmarks {

namespace {

// About a third of what the slots can serve.
constexpr double QueriesPerSecond = 400.0;
constexpr std::chrono::seconds Duration{60};
constexpr double ExtraLoadTarget = 0.05;

// Attempts that reached searchers beyond the first ones, counted there and not
// from what the queries say.
double extraLoad(const HedgingRun &Run) {
  return static_cast<double>(Run.Searchers.Sent) / Run.Work.FirstAttempts - 1.0;
}

double cancelledPart(const HedgingRun &Run) {
  return std::chrono::duration<double>(Run.Searchers.CancelledWork) /
         std::chrono::duration<double>(Run.Searchers.Busy);
}

} // namespace

std::vector<Measurement> HedgingBenchmark::run() {
  const HedgingRun Plain = measure(false);
  const HedgingRun Hedged = measure(true);
  const auto Count = [](auto Value) { return static_cast<double>(Value); };
  return {
      {"hedging.p50_plain_ms", Plain.MedianMs},
      {"hedging.p50_ms", Hedged.MedianMs},
      {"hedging.p99_plain_ms", Plain.P99Ms},
      {"hedging.p99_ms", Hedged.P99Ms},
      {"hedging.p99_ratio", Hedged.P99Ms / Plain.P99Ms},
      {"hedging.extra_load", extraLoad(Hedged)},
      {"hedging.coverage_gain", Hedged.MeanCoverage - Plain.MeanCoverage},
      {"hedging.hedges", Count(Hedged.Work.Hedges)},
      {"hedging.hedges_won", Count(Hedged.Work.HedgesWon)},
      {"hedging.cancelled_before_start",
       Count(Hedged.Searchers.CancelledBeforeStart)},
      {"hedging.cancelled_running", Count(Hedged.Searchers.CancelledRunning)},
      {"hedging.cancelled_part_of_work", cancelledPart(Hedged)},
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
  Settings.SlowOneIn = 100;
  Settings.KeepsRecords = false;

  BenchFleet Fleet(1, {Plots}, Settings);
  Fleet.arrive(Plots.Definition.Name, QueriesPerSecond, Duration, false);
  Fleet.events().runAll();

  HedgingRun Run;
  std::vector<std::chrono::nanoseconds> Latencies;
  for (const AnswerRecord &Each : Fleet.answers()) {
    Latencies.push_back(Each.Latency);
    Run.MeanCoverage += Each.Coverage;
  }
  Run.MeanCoverage /= static_cast<double>(Latencies.size());
  Run.MedianMs = percentileMs(Latencies, 50.0);
  Run.P99Ms = percentileMs(Latencies, 99.0);
  Run.Work = Fleet.statistics();
  Run.Searchers = Fleet.searchers().counts();
  return Run;
}

} // namespace acaciacross::benchmarks
