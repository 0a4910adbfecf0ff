#ifndef ACACIACROSS_QUERY_SHARDPROGRESS_H
#define ACACIACROSS_QUERY_SHARDPROGRESS_H

#include "Common/Time.h"
#include "Query/RunningAttempt.h"

#include <optional>
#include <string>
#include <vector>

namespace acaciacross::query {

/// State of a query for one shard of its snapshot.
struct ShardProgress {
  std::vector<RunningAttempt> Running;

  /// Positions of the replicas asked in this round; they are not asked again in
  /// it.
  std::vector<std::uint32_t> TriedReplicas;
  /// Positions of the replicas that are not asked again while the query is
  /// pinned to this snapshot.
  std::vector<std::uint32_t> ExcludedReplicas;

  std::optional<common::MonotonicTime> HedgeAt;
  std::optional<common::MonotonicTime> RetryAt;

  /// The next attempt counts as the shard's first attempt, which is never
  /// charged.
  bool IsFirstAttemptDue = true;
  /// The next attempt is not charged to the extra-load budget.
  bool IsNextAttemptFree = false;
  /// A replica replied that it does not hold the snapshot or the shard.
  bool IsSnapshotGone = false;
  /// The snapshot is gone from a replica and no other replica can be asked now.
  bool IsRestartDue = false;

  bool IsAnswered = false;
  /// No further attempt will be made.
  bool IsGivenUp = false;

  std::string Body;
};

} // namespace acaciacross::query

#endif
