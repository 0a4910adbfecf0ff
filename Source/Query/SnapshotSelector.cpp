#include "Query/SnapshotSelector.h"

#include <algorithm>

namespace acaciacross::query {

namespace {

constexpr std::size_t PreferredReplicas = 2;

std::size_t countUsableReplicas(const ServiceView &Service,
                                const ShardView &Shard) {
  return static_cast<std::size_t>(std::count_if(
      Shard.Replicas.begin(), Shard.Replicas.end(), [&](std::uint32_t Replica) {
        return Service.Searchers[Replica].Availability ==
               SearcherAvailability::Usable;
      }));
}

std::size_t minUsableReplicas(const ServiceView &Service,
                              const SnapshotView &Snapshot) {
  std::size_t MinUsable = Snapshot.Shards.empty() ? 0 : PreferredReplicas;
  for (const ShardView &Shard : Snapshot.Shards)
    MinUsable = std::min(MinUsable, countUsableReplicas(Service, Shard));
  return MinUsable;
}

std::uint64_t reachableDocuments(const ServiceView &Service,
                                 const SnapshotView &Snapshot) {
  std::uint64_t Documents = 0;
  for (const ShardView &Shard : Snapshot.Shards)
    if (countUsableReplicas(Service, Shard) > 0)
      Documents += std::max<std::uint64_t>(Shard.Documents, 1);
  return Documents;
}

} // namespace

std::optional<std::size_t>
SnapshotSelector::select(const ServiceView &Service,
                         std::span<const common::SnapshotId> Excluded) const {
  std::optional<std::size_t> WithOneReplica;
  std::optional<std::size_t> WithMostDocuments;
  std::uint64_t MostDocuments = 0;

  for (std::size_t I = 0; I < Service.Snapshots.size(); ++I) {
    const SnapshotView &Snapshot = Service.Snapshots[I];
    const bool IsExcluded = std::find(Excluded.begin(), Excluded.end(),
                                      Snapshot.Id) != Excluded.end();
    if (IsExcluded)
      continue;

    const std::size_t MinUsable = minUsableReplicas(Service, Snapshot);
    if (MinUsable >= PreferredReplicas)
      return I;
    if (MinUsable >= 1 && !WithOneReplica)
      WithOneReplica = I;

    const std::uint64_t Documents = reachableDocuments(Service, Snapshot);
    if (Documents > MostDocuments) {
      MostDocuments = Documents;
      WithMostDocuments = I;
    }
  }
  return WithOneReplica ? WithOneReplica : WithMostDocuments;
}

} // namespace acaciacross::query
