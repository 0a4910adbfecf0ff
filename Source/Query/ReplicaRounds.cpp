#include "Query/ReplicaRounds.h"

#include <vector>

namespace acaciacross::query {

ReplicaRounds::ReplicaRounds(ReplicaSelector &Selector) : Replicas(Selector) {}

std::optional<std::uint32_t>
ReplicaRounds::next(const ServiceView &Service, const ShardView &Shard,
                    const ShardProgress &Progress) const {
  std::vector<std::uint32_t> Excluded = Progress.Dropped;
  Excluded.insert(Excluded.end(), Progress.Tried.begin(), Progress.Tried.end());
  return this->Replicas.select(Service, Shard, Excluded);
}

// Replicas that shed or lost an attempt may be asked again after a while; those
// that refused a connection or lack the snapshot may not.
void ReplicaRounds::beginNext(const ServiceView &Service,
                              const ShardView &Shard,
                              ShardProgress &Progress) const {
  // Replicas that only shed or failed may still hold the snapshot; a restart
  // would throw away the partial results and ask every shard again.
  const bool IsAnyLeft =
      this->Replicas.select(Service, Shard, Progress.Dropped).has_value();
  Progress.IsRestartDue = Progress.IsSnapshotLost && !IsAnyLeft;
  if (Progress.Dropped.size() >= Shard.Replicas.size()) {
    Progress.IsGivenUp = true;
    return;
  }
  Progress.Tried.clear();
}

} // namespace acaciacross::query
