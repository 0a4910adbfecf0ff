#include "Metrics/MetricsPage.h"

#include "Metrics/ClassMetrics.h"

#include <chrono>
#include <functional>
#include <sstream>

namespace acaciacross::metrics {

namespace {

using ValueReader = std::function<double(const ClassReport &)>;

double seconds(std::chrono::nanoseconds Time) {
  return std::chrono::duration<double>(Time).count();
}

std::string escape(const std::string &Text) {
  std::string Escaped;
  for (const char Byte : Text) {
    if (Byte == '\n') {
      Escaped += "\\n";
      continue;
    }
    if (Byte == '"' || Byte == '\\')
      Escaped += '\\';
    Escaped += Byte;
  }
  return Escaped;
}

std::string classLabel(const ClassReport &Report) {
  return "class=\"" + escape(Report.Name.Value) + "\"";
}

void writeFamilyHeader(std::ostream &Page, const std::string &Name,
                       const std::string &Type, const std::string &Help) {
  Page << "# HELP " << Name << ' ' << Help << "\n# TYPE " << Name << ' ' << Type
       << '\n';
}

void writeFamily(std::ostream &Page, std::span<const ClassReport> Reports,
                 const std::string &Name, const std::string &Type,
                 const std::string &Help, const ValueReader &ReadValue) {
  writeFamilyHeader(Page, Name, Type, Help);
  for (const ClassReport &Report : Reports)
    Page << Name << '{' << classLabel(Report) << "} " << ReadValue(Report)
         << '\n';
}

void writeOutcomes(std::ostream &Page, std::span<const ClassReport> Reports) {
  const std::string Name = "acaciacross_requests_total";
  writeFamilyHeader(Page, Name, "counter", "Ended requests by result code.");
  for (const ClassReport &Report : Reports)
    for (const auto &[Code, Count] : Report.Outcomes)
      Page << Name << '{' << classLabel(Report) << ",code=\""
           << static_cast<int>(Code) << "\",result=\""
           << common::resultCodeName(Code) << "\"} " << Count << '\n';
}

void writeLatencies(std::ostream &Page, std::span<const ClassReport> Reports) {
  const std::string Name = "acaciacross_latency_seconds";
  writeFamilyHeader(Page, Name, "gauge",
                    "Latency quantiles of answers in the last minutes.");
  const auto Quantiles = ClassMetrics::quantiles();
  for (const ClassReport &Report : Reports)
    for (std::size_t I = 0; I < Report.Latencies.size(); ++I)
      Page << Name << '{' << classLabel(Report) << ",quantile=\""
           << Quantiles[I] << "\"} " << seconds(Report.Latencies[I]) << '\n';
}

// A class without answers has no coverage value; 0 would mean answers that
// cover nothing.
void writeCoverage(std::ostream &Page, std::span<const ClassReport> Reports) {
  const std::string Name = "acaciacross_coverage_mean";
  writeFamilyHeader(Page, Name, "gauge",
                    "Mean coverage of answers in the last minutes.");
  for (const ClassReport &Report : Reports)
    if (Report.Answers > 0)
      Page << Name << '{' << classLabel(Report) << "} " << Report.MeanCoverage
           << '\n';
}

} // namespace

std::string MetricsPage::render(std::span<const ClassReport> Reports) {
  std::ostringstream Page;
  Page.precision(12);
  const auto Counter = [&](const std::string &Name, const std::string &Help,
                           std::uint64_t ClassReport::*Field) {
    writeFamily(Page, Reports, Name, "counter", Help,
                [Field](const ClassReport &Report) {
                  return static_cast<double>(Report.*Field);
                });
  };
  writeOutcomes(Page, Reports);
  writeLatencies(Page, Reports);
  writeCoverage(Page, Reports);
  writeFamily(Page, Reports, "acaciacross_extra_load_ratio", "gauge",
              "Extra attempts by first attempts.",
              [](const ClassReport &Report) { return Report.extraLoad(); });
  Counter("acaciacross_first_attempts_total", "First attempts of shards.",
          &ClassReport::FirstAttempts);
  Counter("acaciacross_extra_attempts_total",
          "Attempts paid from the extra-load budget.",
          &ClassReport::ExtraAttempts);
  Counter("acaciacross_hedges_total", "Hedged attempts.", &ClassReport::Hedges);
  Counter("acaciacross_hedges_won_total", "Hedges that answered first.",
          &ClassReport::HedgesWon);
  Counter("acaciacross_free_replacements_total",
          "Replacements of attempts of which nothing was sent.",
          &ClassReport::FreeReplacements);
  Counter("acaciacross_restarts_total", "Restarts on another snapshot.",
          &ClassReport::Restarts);
  writeFamily(Page, Reports, "acaciacross_extra_load_budget", "gauge",
              "Extra attempts that the budget holds.",
              [](const ClassReport &Report) {
                return static_cast<double>(Report.ExtraAttemptsLeft);
              });
  writeFamily(Page, Reports, "acaciacross_running_queries", "gauge",
              "Queries that run.", [](const ClassReport &Report) {
                return static_cast<double>(Report.Running);
              });
  return Page.str();
}

} // namespace acaciacross::metrics
