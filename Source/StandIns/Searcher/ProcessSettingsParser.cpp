#include "StandIns/Searcher/ProcessSettingsParser.h"

#include "Common/Error.h"

#include <algorithm>
#include <initializer_list>
#include <toml++/toml.h>

namespace acaciacross::standins {

namespace {

[[noreturn]] void throwInvalid(const toml::node &Node,
                               const std::string &Problem) {
  throw common::Error(common::ResultCode::SettingInvalid,
                      "line " + std::to_string(Node.source().begin.line) +
                          ": " + Problem);
}

void checkKeys(const toml::table &Table,
               std::initializer_list<std::string_view> AllowedKeys) {
  for (const auto &[Key, Value] : Table)
    if (std::find(AllowedKeys.begin(), AllowedKeys.end(), Key.str()) ==
        AllowedKeys.end())
      throwInvalid(Value, "unknown key " + std::string(Key.str()));
}

template <typename T>
T read(const toml::table &Table, std::string_view Key, T Default) {
  const toml::node *Node = Table.get(Key);
  if (Node == nullptr)
    return Default;
  const auto Value = Node->value<T>();
  if (!Value)
    throwInvalid(*Node, std::string(Key) + " has the wrong type or range");
  return *Value;
}

std::chrono::milliseconds readMs(const toml::table &Table,
                                 std::string_view Key) {
  return std::chrono::milliseconds(read<std::uint32_t>(Table, Key, 0));
}

common::Address readAddress(const toml::table &Table, std::string_view Key) {
  const auto Parsed = common::Address::parse(read<std::string>(Table, Key, ""));
  if (!Parsed)
    throwInvalid(Table, std::string(Key) + ": a.b.c.d:port is required");
  return *Parsed;
}

/// Calls ReadTable for each table of an array of tables.
template <typename Function>
void forEachTable(const toml::table &Table, std::string_view Key,
                  Function ReadTable) {
  const toml::node *Node = Table.get(Key);
  if (Node == nullptr)
    return;
  if (!Node->is_array_of_tables())
    throwInvalid(*Node, std::string(Key) + ": an array of tables is required");
  for (const toml::node &Item : *Node->as_array())
    ReadTable(*Item.as_table());
}

ServiceTimeSettings readServiceTimes(const toml::table &Table) {
  checkKeys(Table, {"kind", "median_ms", "sigma", "seed", "slow_one_in",
                    "slow_factor"});
  ServiceTimeSettings ServiceTimes;
  ServiceTimes.Kind = read<std::string>(Table, "kind", ServiceTimes.Kind);
  ServiceTimes.Median = std::chrono::microseconds(static_cast<std::int64_t>(
      read<double>(Table, "median_ms", 5.0) * 1000.0));
  ServiceTimes.Sigma = read<double>(Table, "sigma", ServiceTimes.Sigma);
  ServiceTimes.Seed = read<std::uint64_t>(Table, "seed", ServiceTimes.Seed);
  ServiceTimes.SlowOneIn = read<std::uint32_t>(Table, "slow_one_in", 0);
  ServiceTimes.SlowFactor = read<double>(Table, "slow_factor", 1.0);
  ServiceTimes.make();
  return ServiceTimes;
}

LoadedSnapshot readSnapshot(const toml::table &Table) {
  checkKeys(Table, {"id", "shard"});
  LoadedSnapshot Snapshot;
  Snapshot.Id = read<std::string>(Table, "id", "");
  forEachTable(Table, "shard", [&Snapshot](const toml::table &Shard) {
    checkKeys(Shard, {"id", "range_begin", "range_end"});
    Snapshot.Shards[read<std::uint32_t>(Shard, "id", 0)] = {
        read<std::uint64_t>(Shard, "range_begin", 0),
        read<std::uint64_t>(Shard, "range_end", 0)};
  });
  return Snapshot;
}

SearcherSettings readSearcher(const toml::table &Table) {
  checkKeys(Table,
            {"id", "address", "slots", "max_connections", "connect_cost_ms",
             "queue_length", "cold_start_ms", "cold_factor", "health_lag_ms",
             "load_lag_ms", "service_time", "snapshot"});
  SearcherSettings Searcher;
  Searcher.Id = read<std::string>(Table, "id", "");
  Searcher.ListenAddress = readAddress(Table, "address");
  Searcher.Slots = read<std::uint32_t>(Table, "slots", 1);
  Searcher.MaxConnections = read<std::uint32_t>(Table, "max_connections", 1);
  Searcher.ConnectCost = readMs(Table, "connect_cost_ms");
  Searcher.QueueLength = read<std::uint32_t>(Table, "queue_length", 0);
  Searcher.ColdStart = readMs(Table, "cold_start_ms");
  Searcher.ColdFactor = read<double>(Table, "cold_factor", 1.0);
  Searcher.HealthLag = readMs(Table, "health_lag_ms");
  Searcher.LoadLag = readMs(Table, "load_lag_ms");
  if (const toml::table *ServiceTimes = Table["service_time"].as_table())
    Searcher.ServiceTimes = readServiceTimes(*ServiceTimes);
  forEachTable(Table, "snapshot", [&Searcher](const toml::table &Snapshot) {
    Searcher.Snapshots.push_back(readSnapshot(Snapshot));
  });
  if (Searcher.Id.empty() || Searcher.Slots == 0)
    throwInvalid(Table, "a searcher needs an id and at least one slot");
  return Searcher;
}

ProcessSettings readProcess(const toml::table &Document) {
  checkKeys(Document, {"process", "searcher"});
  const toml::table *Process = Document["process"].as_table();
  if (Process == nullptr)
    throwInvalid(Document, "the table process is required");
  checkKeys(*Process, {"control"});
  ProcessSettings Settings;
  Settings.ControlAddress = readAddress(*Process, "control");
  forEachTable(Document, "searcher", [&Settings](const toml::table &Searcher) {
    Settings.Searchers.push_back(readSearcher(Searcher));
  });
  return Settings;
}

} // namespace

ProcessSettings ProcessSettingsParser::parse(std::string_view Text) {
  try {
    return readProcess(toml::parse(Text));
  } catch (const toml::parse_error &Failure) {
    throw common::Error(common::ResultCode::SettingInvalid,
                        "line " + std::to_string(Failure.source().begin.line) +
                            ": " + std::string(Failure.description()));
  }
}

} // namespace acaciacross::standins
