#ifndef ACACIACROSS_QUERY_REPLICAROUNDS_H
#define ACACIACROSS_QUERY_REPLICAROUNDS_H

#include "Query/ReplicaSelector.h"
#include "Query/ServiceView.h"
#include "Query/ShardProgress.h"

#include <cstdint>
#include <optional>

namespace acaciacross::query {

/// Chooses the replicas of one shard in rounds. Each replica is asked at most
/// once in a round; one that cannot serve the query is left out of later
/// rounds.
class ReplicaRounds {
public:
  /// Selector must outlive this object.
  explicit ReplicaRounds(ReplicaSelector &Selector);

  /// Position of the next replica to ask in ServiceView::Searchers; empty when
  /// the round has no replica left.
  std::optional<std::uint32_t> nextReplica(const ServiceView &Service,
                                           const ShardView &Shard,
                                           const ShardProgress &Progress) const;
  /// Begins another round, or gives up the shard when every replica is
  /// excluded.
  void beginNextRound(const ServiceView &Service, const ShardView &Shard,
                      ShardProgress &Progress) const;

private:
  ReplicaSelector &Selector;
};

} // namespace acaciacross::query

#endif
