#ifndef ACACIACROSS_QUERY_SHARDPROGRESS_H
#define ACACIACROSS_QUERY_SHARDPROGRESS_H

#include "Common/Time.h"
#include "Query/RunningAttempt.h"

#include <optional>
#include <string>
#include <vector>

namespace acaciacross::query {

/// How far a query is with one shard of its snapshot.
struct ShardProgress {
  std::vector<RunningAttempt> Running;

  /// Positions of replicas not to ask in this round.
  std::vector<std::uint32_t> Tried;
  /// Positions of replicas not to ask again in this query.
  std::vector<std::uint32_t> Dropped;

  std::optional<common::MonotonicTime> HedgeAt;
  std::optional<common::MonotonicTime> RetryAt;

  /// The next attempt is the first that may load an upstream.
  bool IsFirstAttemptDue = true;
  /// The next attempt takes nothing from the budget.
  bool IsPrepaid = false;
  /// A replica answered that it does not hold the snapshot or the shard.
  bool IsSnapshotLost = false;
  /// The snapshot is lost and no other replica can be asked now.
  bool IsRestartDue = false;

  bool IsAnswered = false;
  /// No further attempt will be made.
  bool IsGivenUp = false;

  std::string Body;
};

} // namespace acaciacross::query

#endif
