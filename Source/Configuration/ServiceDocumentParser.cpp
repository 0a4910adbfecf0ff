#include "Configuration/ServiceDocumentParser.h"

#include "Configuration/TomlTable.h"

#include <algorithm>
#include <limits>
#include <set>

namespace acaciacross::configuration {

namespace {

constexpr std::string_view KeyPrefix = "service/";
constexpr std::int64_t MaxSlots = 1'024;
constexpr std::int64_t MaxConnections = 100'000;
constexpr std::int64_t MaxDocuments = 1'000'000'000'000;
constexpr std::int64_t MaxShardId = std::numeric_limits<std::uint32_t>::max();
constexpr std::int64_t MaxKey = std::numeric_limits<std::int64_t>::max();

using SearcherIds = std::set<common::SearcherId>;

common::ServiceName serviceName(const std::string &Source) {
  if (Source.starts_with(KeyPrefix))
    return common::ServiceName(Source.substr(KeyPrefix.size()));
  return common::ServiceName(Source);
}

SearcherDefinition readSearcher(const TomlTable &Table) {
  Table.rejectUnknownKeys(
      {"id", "address", "zone", "slots", "max_connections"});
  SearcherDefinition Searcher;
  Searcher.Id = common::SearcherId(Table.name("id"));
  Searcher.Endpoint = Table.address("address");
  Searcher.Zone = Table.name("zone");
  Searcher.Slots =
      static_cast<std::uint32_t>(Table.integer("slots", 1, MaxSlots));
  Searcher.MaxConnections = static_cast<std::uint32_t>(
      Table.integer("max_connections", 1, MaxConnections));
  return Searcher;
}

std::vector<SearcherDefinition> readSearchers(const TomlTable &Root) {
  std::vector<SearcherDefinition> Searchers;
  SearcherIds Ids;
  std::set<common::Address> Endpoints;
  for (const TomlTable &Table : Root.tableArray("searcher")) {
    Searchers.push_back(readSearcher(Table));
    if (!Ids.insert(Searchers.back().Id).second)
      Table.throwError("id", "an id that no other searcher has");
    // Two ids for one process would be given its connection limit twice.
    if (!Endpoints.insert(Searchers.back().Endpoint).second)
      Table.throwError("address", "an address that no other searcher has");
  }
  return Searchers;
}

std::vector<common::SearcherId> readReplicas(const TomlTable &Table,
                                             const SearcherIds &KnownIds) {
  std::vector<common::SearcherId> Replicas;
  for (const std::string &Text : Table.strings("replicas")) {
    const common::SearcherId Id(Text);
    if (!KnownIds.contains(Id))
      Table.throwError("replicas", "ids of searchers in this document, not " +
                                       Text.substr(0, 64));
    if (std::find(Replicas.begin(), Replicas.end(), Id) != Replicas.end())
      Table.throwError("replicas", "each searcher once");
    Replicas.push_back(Id);
  }
  if (Replicas.empty())
    Table.throwError("replicas", "at least one searcher");
  return Replicas;
}

ShardDefinition readShard(const TomlTable &Table, const SearcherIds &KnownIds) {
  Table.rejectUnknownKeys(
      {"id", "range_begin", "range_end", "documents", "replicas"});
  ShardDefinition Shard;
  Shard.Id = common::ShardId(
      static_cast<std::uint32_t>(Table.integer("id", 0, MaxShardId)));
  const std::int64_t Begin = Table.integer("range_begin", 0, MaxKey - 1);
  Shard.Range.Begin = static_cast<std::uint64_t>(Begin);
  Shard.Range.End =
      static_cast<std::uint64_t>(Table.integer("range_end", Begin + 1, MaxKey));
  Shard.Documents =
      static_cast<std::uint64_t>(Table.integer("documents", 0, MaxDocuments));
  Shard.Replicas = readReplicas(Table, KnownIds);
  return Shard;
}

// Checks that the ranges have no gap and no overlap. Keys in no shard would be
// missing from answers without reducing the coverage; keys in two shards would
// be answered twice.
void checkRanges(const std::vector<ShardDefinition> &Shards,
                 const std::vector<TomlTable> &Tables) {
  std::vector<std::size_t> SortedIndices(Shards.size());
  for (std::size_t I = 0; I < SortedIndices.size(); ++I)
    SortedIndices[I] = I;
  std::sort(SortedIndices.begin(), SortedIndices.end(),
            [&](std::size_t A, std::size_t B) {
              return Shards[A].Range.Begin < Shards[B].Range.Begin;
            });
  std::uint64_t Expected = 0;
  for (const std::size_t Index : SortedIndices) {
    if (Shards[Index].Range.Begin != Expected)
      Tables[Index].throwError(
          "range_begin", std::to_string(Expected) +
                             ", so that the ranges of the snapshot have no "
                             "gap and no overlap");
    Expected = Shards[Index].Range.End;
  }
}

PartitionMap readSnapshot(const TomlTable &Table, const SearcherIds &KnownIds) {
  Table.rejectUnknownKeys({"id", "shard"});
  PartitionMap Map;
  Map.Snapshot = common::SnapshotId(Table.name("id"));
  const std::vector<TomlTable> Tables = Table.tableArray("shard");
  std::set<common::ShardId> Ids;
  for (const TomlTable &Shard : Tables) {
    Map.Shards.push_back(readShard(Shard, KnownIds));
    if (!Ids.insert(Map.Shards.back().Id).second)
      Shard.throwError("id", "an id that no other shard of the snapshot has");
  }
  checkRanges(Map.Shards, Tables);
  return Map;
}

} // namespace

ServiceDocument ServiceDocumentParser::parse(const std::string &Text,
                                             const std::string &Source) {
  const TomlContext Context{Source, common::ResultCode::DocumentInvalid};
  const toml::table Parsed = TomlTable::parse(Context, Text);
  const TomlTable Root(Context, Parsed, "");
  Root.rejectUnknownKeys({"searcher", "snapshot"});

  ServiceDocument Document;
  Document.Name = serviceName(Source);
  Document.Searchers = readSearchers(Root);
  SearcherIds KnownIds;
  for (const SearcherDefinition &Searcher : Document.Searchers)
    KnownIds.insert(Searcher.Id);

  std::set<common::SnapshotId> Ids;
  for (const TomlTable &Table : Root.tableArray("snapshot")) {
    Document.Snapshots.push_back(readSnapshot(Table, KnownIds));
    if (!Ids.insert(Document.Snapshots.back().Snapshot).second)
      Table.throwError("id", "an id that no other snapshot has");
  }
  return Document;
}

} // namespace acaciacross::configuration
