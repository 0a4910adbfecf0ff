#ifndef ACACIACROSS_QUERY_OUTCOMEDECISION_H
#define ACACIACROSS_QUERY_OUTCOMEDECISION_H

#include "Query/Outcome.h"
#include "Query/ShardProgress.h"
#include "Query/SnapshotView.h"

#include <span>

namespace acaciacross::query {

/// Says what a query that has ended was answered with.
class OutcomeDecision {
public:
  /// Snapshot is null when none could be chosen; Shards has an element for each
  /// of its shards. MayHaveRun: an upstream may have begun some of the work.
  OutcomeDecision(const SnapshotView *Pinned,
                  std::span<const ShardProgress> Progress, bool MayHaveRun);

  /// Reason: why the query ended, if it is not complete.
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
