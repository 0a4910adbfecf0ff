#ifndef ACACIACROSS_QUERY_REPLICASELECTOR_H
#define ACACIACROSS_QUERY_REPLICASELECTOR_H

#include "Query/AttemptStatus.h"
#include "Query/ServiceView.h"

#include <cstdint>
#include <optional>
#include <span>

namespace acaciacross::query {

/// Chooses the replica that an attempt is sent to.
class ReplicaSelector {
public:
  virtual ~ReplicaSelector() = default;

  /// Position in ServiceView::Searchers of a usable replica that is below its
  /// connection quota and not in Excluded; empty when there is none.
  virtual std::optional<std::uint32_t>
  select(const ServiceView &Service, const ShardView &Shard,
         std::span<const std::uint32_t> Excluded) = 0;

  /// Called at the start and the end of every attempt. The choice depends on
  /// the attempts in flight and on which searchers fail.
  virtual void onAttemptStarted(common::SearcherIndex Searcher) = 0;
  virtual void onAttemptEnded(common::SearcherIndex Searcher,
                              AttemptStatus Status) = 0;
};

} // namespace acaciacross::query

#endif
