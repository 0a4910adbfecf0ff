#ifndef ACACIACROSS_QUERY_REPLICAROUNDS_H
#define ACACIACROSS_QUERY_REPLICAROUNDS_H

#include "Query/ReplicaSelector.h"
#include "Query/ServiceView.h"
#include "Query/ShardProgress.h"

#include <cstdint>
#include <optional>

namespace acaciacross::query {

/// Chooses the replicas of one shard in rounds: each is asked once a round, and
/// not again when it cannot serve the query at all.
class ReplicaRounds {
public:
  /// Selector must outlive this.
  explicit ReplicaRounds(ReplicaSelector &Selector);

  /// Position of the next searcher to ask; empty when the round is over.
  std::optional<std::uint32_t> next(const ServiceView &Service,
                                    const ShardView &Shard,
                                    const ShardProgress &Progress) const;
  /// Begins another round, or gives the shard up when no replica is left.
  void beginNext(const ServiceView &Service, const ShardView &Shard,
                 ShardProgress &Progress) const;

private:
  ReplicaSelector &Replicas;
};

} // namespace acaciacross::query

#endif
