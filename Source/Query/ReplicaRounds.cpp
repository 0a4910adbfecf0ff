#include "Query/ReplicaRounds.h"

#include <vector>

namespace acaciacross::query {

ReplicaRounds::ReplicaRounds(ReplicaSelector &Selector) : Selector(Selector) {}

std::optional<std::uint32_t>
ReplicaRounds::nextReplica(const ServiceView &Service, const ShardView &Shard,
                           const ShardProgress &Progress) const {
  std::vector<std::uint32_t> Excluded = Progress.ExcludedReplicas;
  Excluded.insert(Excluded.end(), Progress.TriedReplicas.begin(),
                  Progress.TriedReplicas.end());
  return this->Selector.select(Service, Shard, Excluded);
}

// Replicas that shed or lost an attempt may be asked again in the next round,
// which starts after a delay. Those that could not be connected to or lack the
// snapshot or shard may not.
void ReplicaRounds::beginNextRound(const ServiceView &Service,
                                   const ShardView &Shard,
                                   ShardProgress &Progress) const {
  // Replicas that only shed or lost an attempt may still hold the snapshot. A
  // restart would discard the replies so far and ask every shard again, so it
  // is due only when no replica is left.
  const bool IsAnyReplicaLeft =
      this->Selector.select(Service, Shard, Progress.ExcludedReplicas)
          .has_value();
  Progress.IsRestartDue = Progress.IsSnapshotGone && !IsAnyReplicaLeft;
  if (Progress.ExcludedReplicas.size() >= Shard.Replicas.size()) {
    Progress.IsGivenUp = true;
    return;
  }
  Progress.TriedReplicas.clear();
}

} // namespace acaciacross::query
