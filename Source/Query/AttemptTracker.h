#ifndef ACACIACROSS_QUERY_ATTEMPTTRACKER_H
#define ACACIACROSS_QUERY_ATTEMPTTRACKER_H

#include "Query/QueryDependencies.h"
#include "Query/QueryRequest.h"
#include "Query/RunningAttempt.h"
#include "Query/ServiceView.h"
#include "Query/ShardProgress.h"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace acaciacross::query {

/// Starts and cancels the attempts of one query and keeps track of the running
/// ones.
class AttemptTracker {
public:
  /// Both must outlive this object.
  AttemptTracker(const QueryRequest &Request,
                 const QueryDependencies &Dependencies);

  /// Sends an attempt for the shard at index Shard of the snapshot to the
  /// searcher at SearcherPosition in ServiceView::Searchers.
  void start(const ServiceView &Service, const SnapshotView &Snapshot,
             std::size_t Shard, std::uint32_t SearcherPosition, bool IsHedge,
             ShardProgress &Progress);

  /// Index of the shard that an attempt was sent for; empty when the attempt is
  /// not a running attempt of this query.
  std::optional<std::size_t>
  shardIndexOf(const common::AttemptId &Attempt) const;

  /// Removes a running attempt and reports its end to the replica selector.
  RunningAttempt end(const ServiceView &Service, ShardProgress &Progress,
                     const common::AttemptId &Attempt, AttemptStatus Status);

  /// Cancels the running attempts of one shard and returns their number.
  std::uint32_t cancel(const ServiceView &Service, ShardProgress &Progress);

  bool isAnyRunning() const;

private:
  AttemptSpec makeSpec(const SearcherView &Searcher,
                       const SnapshotView &Snapshot,
                       const ShardView &Shard) const;

  const QueryRequest &Request;
  const QueryDependencies &Dependencies;
  /// Shard index of each running attempt.
  std::unordered_map<common::AttemptId, std::size_t> ShardIndices;
};

} // namespace acaciacross::query

#endif
