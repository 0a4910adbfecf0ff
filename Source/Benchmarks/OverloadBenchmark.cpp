#include "Benchmarks/OverloadBenchmark.h"

#include "Benchmarks/Percentile.h"

#include <string>
#include <unordered_set>

namespace acaciacross::benchmarks {

namespace {

constexpr std::size_t VmCount = 9;
constexpr double ShardCount = 10.0;
constexpr double OverloadFactor = 2.0;
constexpr double SecondClassFraction = 0.1;
constexpr std::chrono::seconds Duration{20};
// Excluded from the figures, because the concurrency limit of a new VM starts
// at 1.
constexpr std::chrono::seconds WarmUp{1};

BenchClass makeClass(const char *Name, std::chrono::milliseconds Target) {
  BenchClass Class;
  Class.Definition.Name = common::ClassName(Name);
  Class.Definition.LatencyTarget = Target;
  Class.Definition.TargetPercentile = 99.0;
  Class.Definition.CoverageTarget = 0.99;
  Class.Definition.ExtraLoadTarget = 0.05;
  return Class;
}

bool isUseful(const AnswerRecord &Answer, const BenchClass &Class) {
  return Answer.Class == Class.Definition.Name &&
         Answer.Coverage >= Class.Definition.CoverageTarget &&
         Answer.Latency <= Class.Definition.LatencyTarget;
}

} // namespace

std::vector<Measurement> OverloadBenchmark::run() {
  const BenchClass Plots =
      makeClass("crew-plots", std::chrono::milliseconds(80));
  const BenchClass Orders =
      makeClass("buyer-orders", std::chrono::milliseconds(150));
  testsupport::FakeSearcherSettings Settings;
  Settings.QueueLimit = 4;
  BenchFleet Fleet(VmCount, {Plots, Orders}, Settings);
  const double QueryCapacity = Fleet.capacity() / ShardCount;
  const double Offered = QueryCapacity * OverloadFactor;
  Fleet.startArrivals(Plots.Definition.Name,
                      Offered * (1.0 - SecondClassFraction), Duration, true);
  Fleet.startArrivals(Orders.Definition.Name, Offered * SecondClassFraction,
                      Duration, true);
  const common::MonotonicTime MeasuredFrom = Fleet.events().now() + WarmUp;
  Fleet.events().runAll();

  double Useful = 0.0;
  double UsefulOrders = 0.0;
  double OfferedOrders = 0.0;
  double Refused = 0.0;
  double RefusedOrders = 0.0;
  double Partial = 0.0;
  double Accepted = 0.0;
  std::vector<std::chrono::nanoseconds> PlotLatencies;
  std::vector<std::chrono::nanoseconds> OrderLatencies;
  for (const AnswerRecord &Answer : Fleet.answers()) {
    if (Answer.Arrived < MeasuredFrom)
      continue;
    const bool IsOrder = Answer.Class == Orders.Definition.Name;
    OfferedOrders += IsOrder ? 1.0 : 0.0;
    UsefulOrders += isUseful(Answer, Orders) ? 1.0 : 0.0;
    Useful += isUseful(Answer, Plots) || isUseful(Answer, Orders) ? 1.0 : 0.0;
    Refused += Answer.IsRefused ? 1.0 : 0.0;
    RefusedOrders += IsOrder && Answer.IsRefused ? 1.0 : 0.0;
    if (Answer.IsRefused)
      continue;
    Partial += Answer.Coverage < 1.0 ? 1.0 : 0.0;
    Accepted += 1.0;
    (IsOrder ? OrderLatencies : PlotLatencies).push_back(Answer.Latency);
  }
  const query::QueryStatistics Statistics = Fleet.statistics();
  const double Seconds =
      std::chrono::duration<double>(Duration - WarmUp).count();
  return {
      {"overload.capacity_per_s", QueryCapacity},
      {"overload.accepted_per_s", Accepted / Seconds},
      {"overload.useful_part_of_capacity", Useful / Seconds / QueryCapacity},
      {"overload.refused_per_s", Refused / Seconds},
      {"overload.untrue_refusals", countExecutedRefusals(Fleet)},
      {"overload.plots_p50_ms", percentileMs(PlotLatencies, 50.0)},
      {"overload.plots_p99_ms", percentileMs(PlotLatencies, 99.0)},
      {"overload.orders_p99_ms", percentileMs(OrderLatencies, 99.0)},
      {"overload.orders_useful_part", UsefulOrders / OfferedOrders},
      {"overload.extra_load",
       static_cast<double>(Fleet.searchers().counts().Sent) /
               Statistics.FirstAttempts -
           1.0},
      {"overload.hedges", static_cast<double>(Statistics.Hedges)},
      {"overload.orders_refused_part", RefusedOrders / OfferedOrders},
      {"overload.partial_answers", Partial},
      {"overload.shed_attempts", static_cast<double>(Statistics.ShedAttempts)},
  };
}

double OverloadBenchmark::countExecutedRefusals(const BenchFleet &Fleet) {
  std::unordered_set<std::string> Started;
  for (const auto &Execution : Fleet.searchers().executions())
    Started.insert(Execution.Request.Value);
  double Count = 0.0;
  for (const AnswerRecord &Answer : Fleet.answers())
    if (Answer.IsRefused && Started.contains(Answer.Request.Value))
      Count += 1.0;
  return Count;
}

} // namespace acaciacross::benchmarks
