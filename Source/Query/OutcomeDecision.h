#ifndef ACACIACROSS_QUERY_OUTCOMEDECISION_H
#define ACACIACROSS_QUERY_OUTCOMEDECISION_H

#include "Query/Outcome.h"
#include "Query/ShardProgress.h"
#include "Query/SnapshotView.h"

#include <span>

namespace acaciacross::query {

/// Determines the outcome of a query that has ended.
class OutcomeDecision {
public:
  /// Snapshot is null when none could be chosen; Shards has one element for
  /// each shard of the snapshot. MayHaveRun: an upstream may have started some
  /// of the work.
  OutcomeDecision(const SnapshotView *Snapshot,
                  std::span<const ShardProgress> Shards, bool MayHaveRun);

  /// Reason tells why the query ended; it is not used for a complete answer.
  Outcome decide(common::ResultCode Reason) const;

private:
  bool isAnyAnswered() const;
  bool isComplete() const;
  CompleteAnswer makeComplete() const;
  PartialAnswer makePartial() const;

  const SnapshotView *Snapshot;
  std::span<const ShardProgress> Shards;
  bool MayHaveRun;
};

} // namespace acaciacross::query

#endif
