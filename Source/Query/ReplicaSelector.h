#ifndef ACACIACROSS_QUERY_REPLICASELECTOR_H
#define ACACIACROSS_QUERY_REPLICASELECTOR_H

#include "Query/AttemptStatus.h"
#include "Query/ServiceView.h"

#include <cstdint>
#include <optional>
#include <span>

namespace acaciacross::query {

/// Chooses the replica for an attempt.
class ReplicaSelector {
public:
  virtual ~ReplicaSelector() = default;

  /// Position in ServiceView::Searchers of a usable replica below its
  /// connection quota and not in Excluded; empty when there is none.
  virtual std::optional<std::uint32_t>
  select(const ServiceView &Service, const ShardView &Shard,
         std::span<const std::uint32_t> Excluded) = 0;

  /// Told of every attempt's start and end: what is in flight and which
  /// searchers fail rules the choice.
  virtual void onAttemptStarted(common::SearcherIndex Searcher) = 0;
  virtual void onAttemptEnded(common::SearcherIndex Searcher,
                              AttemptStatus Status) = 0;
};

} // namespace acaciacross::query

#endif
