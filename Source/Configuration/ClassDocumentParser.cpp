#include "Configuration/ClassDocumentParser.h"

#include "Configuration/TomlTable.h"

namespace acaciacross::configuration {

namespace {

// Above the 6,600 entry VMs planned for the fleet in two years.
constexpr std::int64_t MaxEntryVms = 10'000;
// The configuration service allows this many calls of all readers together.
constexpr std::int64_t MaxCallsPerSecond = 2'000;
constexpr std::int64_t MaxLatencyTargetMs = 600'000;
constexpr double MinPercentile = 50.0;
constexpr double MaxPercentile = 99.9;
// A coverage target of 0 would allow answers that cover no documents.
constexpr double MinCoverage = 0.001;

DeploymentBudget readBudget(const TomlTable &Table) {
  Table.rejectUnknownKeys(
      {"max_entry_vms", "max_configuration_calls_per_second"});
  DeploymentBudget Budget;
  Budget.MaxEntryVms = static_cast<std::uint32_t>(
      Table.integer("max_entry_vms", 1, MaxEntryVms));
  Budget.MaxConfigurationCallsPerSecond =
      static_cast<std::uint32_t>(Table.integer(
          "max_configuration_calls_per_second", 1, MaxCallsPerSecond));
  return Budget;
}

ClassDefinition readClass(const TomlTable &Table) {
  Table.rejectUnknownKeys({"service", "latency_target_ms", "target_percentile",
                           "coverage_target", "extra_load_target",
                           "repeatable"});
  ClassDefinition Class;
  Class.Name = common::ClassName(Table.lastKey());
  Class.Service = common::ServiceName(Table.name("service"));
  Class.LatencyTarget = std::chrono::milliseconds(
      Table.integer("latency_target_ms", 1, MaxLatencyTargetMs));
  Class.TargetPercentile =
      Table.number("target_percentile", MinPercentile, MaxPercentile);
  Class.CoverageTarget = Table.number("coverage_target", MinCoverage, 1.0);
  Class.ExtraLoadTarget = Table.number("extra_load_target", 0.0, 1.0);
  Class.Repeatable = Table.boolean("repeatable");
  return Class;
}

} // namespace

ClassDocument ClassDocumentParser::parse(const std::string &Text,
                                         const std::string &Source) {
  const TomlContext Context{Source, common::ResultCode::DocumentInvalid};
  const toml::table Parsed = TomlTable::parse(Context, Text);
  const TomlTable Root(Context, Parsed, "");
  Root.rejectUnknownKeys({"budget", "class"});

  ClassDocument Document;
  Document.Budget = readBudget(Root.table("budget"));
  for (const TomlTable &Class : Root.table("class").tables())
    Document.Classes.push_back(readClass(Class));
  return Document;
}

} // namespace acaciacross::configuration
