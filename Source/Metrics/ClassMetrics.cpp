#include "Metrics/ClassMetrics.h"

#include "Metrics/AnswerWindow.h"

#include <algorithm>
#include <array>
#include <utility>

namespace acaciacross::metrics {

namespace {

constexpr std::array ReportedQuantiles = {0.5, 0.9, 0.99};

// Long enough for a stable 99th percentile at a few answers per second, and
// short enough to show a change within a few minutes.
constexpr std::chrono::minutes WindowLength{1};

std::unique_ptr<AnswerWindow> makeWindow(double TargetPercentile) {
  std::vector<double> Fractions(ReportedQuantiles.begin(),
                                ReportedQuantiles.end());
  Fractions.push_back(TargetPercentile / 100.0);
  std::sort(Fractions.begin(), Fractions.end());
  Fractions.erase(std::unique(Fractions.begin(), Fractions.end()),
                  Fractions.end());
  return std::make_unique<AnswerWindow>(std::move(Fractions));
}

common::ResultCode resultCodeFor(const query::Outcome &Outcome) {
  if (const auto *Refused = std::get_if<query::Refusal>(&Outcome))
    return Refused->Code;
  if (const auto *Failed = std::get_if<query::Failure>(&Outcome))
    return Failed->Code;
  return std::holds_alternative<query::PartialAnswer>(Outcome)
             ? common::ResultCode::PartialCoverage
             : common::ResultCode::Ok;
}

} // namespace

ClassMetrics::ClassMetrics(common::ClassName Name, double TargetPercentile)
    : TargetPercentile(TargetPercentile) {
  this->Totals.Name = std::move(Name);
  this->clearWindows();
}

ClassMetrics::~ClassMetrics() = default;

std::span<const double> ClassMetrics::quantiles() { return ReportedQuantiles; }

void ClassMetrics::record(const query::Outcome &Outcome,
                          std::chrono::nanoseconds Latency,
                          const query::QueryStatistics &Statistics,
                          common::MonotonicTime Now) {
  this->rotate(Now);
  ++this->Totals.Outcomes[resultCodeFor(Outcome)];
  this->Totals.FirstAttempts += Statistics.FirstAttempts;
  this->Totals.ExtraAttempts += Statistics.ExtraAttempts;
  this->Totals.Hedges += Statistics.Hedges;
  this->Totals.HedgesWon += Statistics.HedgesWon;
  this->Totals.FreeReplacements += Statistics.FreeReplacements;
  this->Totals.Restarts += Statistics.Restarts;
  if (std::holds_alternative<query::CompleteAnswer>(Outcome))
    this->Current->add(Latency, 1.0);
  else if (const auto *Partial = std::get_if<query::PartialAnswer>(&Outcome))
    this->Current->add(Latency, Partial->Coverage);
}

void ClassMetrics::reconfigure(double NewPercentile) {
  if (NewPercentile == this->TargetPercentile)
    return;
  this->TargetPercentile = NewPercentile;
  this->clearWindows();
}

ClassReport ClassMetrics::report() const {
  ClassReport Report = this->Totals;
  // A window that has just begun has too few answers for a high quantile.
  const bool IsPreviousBetter =
      this->Previous->count() > this->Current->count();
  const AnswerWindow &Window =
      IsPreviousBetter ? *this->Previous : *this->Current;
  Report.Answers = Window.count();
  if (Report.Answers == 0)
    return Report;
  for (const double Fraction : ReportedQuantiles)
    Report.Latencies.push_back(Window.quantile(Fraction));
  Report.LatencyAtTargetPercentile =
      Window.quantile(this->TargetPercentile / 100.0);
  Report.MeanCoverage = Window.meanCoverage();
  return Report;
}

void ClassMetrics::rotate(common::MonotonicTime Now) {
  if (Now - this->WindowStart < WindowLength)
    return;
  this->WindowStart = Now;
  this->Previous =
      std::exchange(this->Current, makeWindow(this->TargetPercentile));
}

void ClassMetrics::clearWindows() {
  this->Current = makeWindow(this->TargetPercentile);
  this->Previous = makeWindow(this->TargetPercentile);
}

} // namespace acaciacross::metrics
