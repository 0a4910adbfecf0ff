#ifndef ACACIACROSS_QUERY_QUERYEXECUTION_H
#define ACACIACROSS_QUERY_QUERYEXECUTION_H

#include "Query/AttemptBudget.h"
#include "Query/AttemptResult.h"
#include "Query/AttemptTracker.h"
#include "Query/CoverageTracker.h"
#include "Query/Outcome.h"
#include "Query/QueryDependencies.h"
#include "Query/QueryRequest.h"
#include "Query/QueryStatistics.h"
#include "Query/ReplicaRounds.h"
#include "Query/ServiceView.h"
#include "Query/ShardProgress.h"
#include "Query/ShardSet.h"

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace acaciacross::query {

/// State machine of one query. It pins the query to a snapshot, asks one
/// replica per shard, hedges, retries and restarts within the extra-load
/// budget, and decides the outcome. All calls come from one traffic thread.
class QueryExecution {
public:
  QueryExecution(QueryRequest Request,
                 std::shared_ptr<const ServiceView> Service,
                 QueryDependencies Dependencies);
  QueryExecution(const QueryExecution &) = delete;
  QueryExecution &operator=(const QueryExecution &) = delete;

  void start(common::MonotonicTime Now);

  /// Results of attempts that do not belong to this query are ignored.
  void onAttemptEnded(const AttemptResult &Result, common::MonotonicTime Now);

  void onTimer(common::MonotonicTime Now);

  /// Passes the newest state of the service. The query stays pinned to its
  /// snapshot; only a restart uses the new state.
  void onViewChanged(std::shared_ptr<const ServiceView> Service);

  /// When onTimer has to be called next; not meaningful once finished.
  common::MonotonicTime nextTimer() const;

  /// Cancels the running attempts and decides the outcome from the replies
  /// received so far.
  void abort(common::ResultCode Reason);

  bool isFinished() const;

  /// Must only be called once finished.
  const Outcome &outcome() const;

  const QueryRequest &request() const;
  const QueryStatistics &statistics() const;

private:
  const SnapshotView &snapshot() const;
  bool pinSnapshot();

  void tryAttempt(std::size_t Shard, common::MonotonicTime Now);
  void startAttempt(std::size_t Shard, std::uint32_t SearcherPosition,
                    bool IsHedge, common::MonotonicTime Now);
  void tryHedge(std::size_t Shard, common::MonotonicTime Now);
  void cancelRunning(ShardProgress &Progress);

  void acceptReply(std::size_t Shard, const RunningAttempt &Attempt,
                   const AttemptResult &Result);
  void handleUnanswered(std::size_t Shard, const RunningAttempt &Attempt,
                        AttemptStatus Status, common::MonotonicTime Now);
  void restartIfDue(common::MonotonicTime Now);
  void restart(common::MonotonicTime Now);

  void finishIfDone(common::MonotonicTime Now);
  bool canAnswerAtLatencyTarget() const;
  void finish(common::ResultCode Reason);

  QueryRequest Request;
  /// The state of the service that the pinned snapshot and all positions refer
  /// to.
  std::shared_ptr<const ServiceView> Service;
  std::shared_ptr<const ServiceView> NewestService;
  QueryDependencies Dependencies;

  /// Snapshots that a restart has left because replicas no longer hold them.
  std::vector<common::SnapshotId> ExcludedSnapshots;
  std::size_t SnapshotPosition = 0;
  /// Empty until a snapshot is pinned.
  std::optional<CoverageTracker> Coverage;
  ShardSet Shards;
  AttemptTracker Attempts;
  ReplicaRounds Rounds;

  /// An upstream may have started the work of some attempt.
  bool MayHaveRun = false;
  std::optional<Outcome> FinalOutcome;
  QueryStatistics Statistics;
  AttemptBudget Budget;
};

} // namespace acaciacross::query

#endif
