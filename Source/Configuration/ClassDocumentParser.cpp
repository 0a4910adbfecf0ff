#include "Configuration/ClassDocumentParser.h"

#include "Configuration/TomlTable.h"

namespace acaciacross::configuration {

namespace {

// Above the 6,600 entry VMs of the two-year size.
constexpr std::int64_t MaxEntryVms = 10'000;
// The allowance of the configuration service for all readers.
constexpr std::int64_t MaxCallsPerSecond = 2'000;
constexpr std::int64_t MaxLatencyTargetMs = 600'000;
constexpr double LeastPercentile = 50.0;
constexpr double GreatestPercentile = 99.9;
// A target of 0 would allow answers that cover nothing.
constexpr double LeastCoverage = 0.001;

DeploymentBudget readBudget(const TomlTable &Table) {
  Table.allowOnly({"max_entry_vms", "max_configuration_calls_per_second"});
  DeploymentBudget Budget;
  Budget.MaxEntryVms = static_cast<std::uint32_t>(
      Table.integer("max_entry_vms", 1, MaxEntryVms));
  Budget.MaxConfigurationCallsPerSecond =
      static_cast<std::uint32_t>(Table.integer(
          "max_configuration_calls_per_second", 1, MaxCallsPerSecond));
  return Budget;
}

ClassDefinition readClass(const TomlTable &Table) {
  Table.allowOnly({"service", "latency_target_ms", "target_percentile",
                   "coverage_target", "extra_load_target", "repeatable"});
  ClassDefinition Class;
  Class.Name = common::ClassName(Table.lastName());
  Class.Service = common::ServiceName(Table.name("service"));
  Class.LatencyTarget = std::chrono::milliseconds(
      Table.integer("latency_target_ms", 1, MaxLatencyTargetMs));
  Class.TargetPercentile =
      Table.number("target_percentile", LeastPercentile, GreatestPercentile);
  Class.CoverageTarget = Table.number("coverage_target", LeastCoverage, 1.0);
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
  Root.allowOnly({"budget", "class"});

  ClassDocument Document;
  Document.Budget = readBudget(Root.table("budget"));
  for (const TomlTable &Class : Root.table("class").tables())
    Document.Classes.push_back(readClass(Class));
  return Document;
}

} // namespace acaciacross::configuration
