#include "Benchmarks/BrownoutBenchmark.h"

#include "Benchmarks/BenchFleet.h"

#include <algorithm>

namespace acaciacross::benchmarks {

namespace {

constexpr double QueriesPerSecond = 300.0;
constexpr int FailureBeginSecond = 10;
constexpr int FailureEndSecond = 30;
constexpr int TotalSeconds = 45;
constexpr double ExtraLoadTarget = 0.05;
// Margin around the begin and the end of the failure, in which earlier queries
// finish.
constexpr std::chrono::seconds SettlingTime{1};

void setFailing(BenchFleet &Fleet, std::uint64_t OneIn) {
  // Every other searcher fails, so that each shard loses one or two of its
  // three replicas.
  for (std::uint32_t I = 0; I < 30; ++I)
    if ((I / 10 + I) % 2 == 0)
      Fleet.searchers().setFailOneIn(common::SearcherIndex(I), OneIn);
}

double meanCoverage(const BenchFleet &Fleet, common::MonotonicTime Begin,
                    common::MonotonicTime End) {
  double Sum = 0.0;
  std::size_t Count = 0;
  for (const AnswerRecord &Answer : Fleet.answers()) {
    if (Answer.Arrived < Begin || Answer.Arrived >= End)
      continue;
    Sum += Answer.Coverage;
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
  Fleet.startArrivals(Plots.Definition.Name, QueriesPerSecond,
                      std::chrono::seconds(TotalSeconds), false);
  double WorstExcess = 0.0;
  std::uint64_t SentBefore = 0;
  std::uint32_t FirstAttemptsBefore = 0;
  for (int Second = 0; Second < TotalSeconds; ++Second) {
    if (Second == FailureBeginSecond)
      setFailing(Fleet, 1);
    if (Second == FailureEndSecond)
      setFailing(Fleet, 0);
    Fleet.events().runUntil(Begin + std::chrono::seconds(Second + 1));
    const std::uint64_t Sent = Fleet.searchers().counts().Sent - SentBefore;
    const std::uint32_t FirstAttempts =
        Fleet.statistics().FirstAttempts - FirstAttemptsBefore;
    WorstExcess =
        std::max(WorstExcess, static_cast<double>(Sent) -
                                  FirstAttempts * (1.0 + ExtraLoadTarget));
    SentBefore += Sent;
    FirstAttemptsBefore += FirstAttempts;
  }
  Fleet.events().runAll();
  const query::QueryStatistics Work = Fleet.statistics();
  const auto Sent = static_cast<double>(Fleet.searchers().counts().Sent);
  const auto TimeAt = [&](int Second) {
    return Begin + std::chrono::seconds(Second);
  };
  return {
      {"brownout.failed_attempts",
       static_cast<double>(Fleet.searchers().counts().Failed)},
      {"brownout.extra_load", Sent / Work.FirstAttempts - 1.0},
      {"brownout.worst_second_excess", WorstExcess},
      {"brownout.coverage_before",
       meanCoverage(Fleet, Begin, TimeAt(FailureBeginSecond) - SettlingTime)},
      {"brownout.coverage_during",
       meanCoverage(Fleet, TimeAt(FailureBeginSecond),
                    TimeAt(FailureEndSecond))},
      {"brownout.coverage_after",
       meanCoverage(Fleet, TimeAt(FailureEndSecond) + SettlingTime,
                    TimeAt(TotalSeconds))},
  };
}

} // namespace acaciacross::benchmarks
