#ifndef ACACIACROSS_QUERY_ATTEMPTBOOK_H
#define ACACIACROSS_QUERY_ATTEMPTBOOK_H

#include "Query/QueryDependencies.h"
#include "Query/QueryRequest.h"
#include "Query/RunningAttempt.h"
#include "Query/ServiceView.h"
#include "Query/ShardProgress.h"

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace acaciacross::query {

/// Starts and cancels the attempts of one query and knows which of them run.
class AttemptBook {
public:
  /// Both must outlive the book.
  AttemptBook(const QueryRequest &Accepted, const QueryDependencies &Used);

  /// Sends an attempt for the shard at a position of the snapshot.
  void start(const ServiceView &Service, const SnapshotView &Snapshot,
             std::size_t Shard, std::uint32_t SearcherPosition, bool IsHedge,
             ShardProgress &Progress);

  /// Position of the shard that a running attempt is for; empty when the
  /// attempt is not one of this query's running ones.
  std::optional<std::size_t> shardOf(const common::AttemptId &Attempt) const;

  /// Takes a running attempt off the book.
  RunningAttempt end(const ServiceView &Service, ShardProgress &Progress,
                     const common::AttemptId &Attempt, AttemptStatus Status);

  /// Cancels what runs for one shard; gives the number of attempts.
  std::uint32_t cancel(const ServiceView &Service, ShardProgress &Progress);

  bool isAnyRunning() const;

private:
  AttemptSpec makeSpec(const SearcherView &Searcher,
                       const SnapshotView &Snapshot,
                       const ShardView &Shard) const;

  const QueryRequest &Request;
  const QueryDependencies &Dependencies;
  std::unordered_map<common::AttemptId, std::size_t> Shards;
};

} // namespace acaciacross::query

#endif
