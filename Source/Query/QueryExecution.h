#ifndef ACACIACROSS_QUERY_QUERYEXECUTION_H
#define ACACIACROSS_QUERY_QUERYEXECUTION_H

#include "Query/AttemptBook.h"
#include "Query/AttemptPayment.h"
#include "Query/AttemptResult.h"
#include "Query/CoverageTally.h"
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

/// State machine of one query: pins it to a snapshot, asks one replica per
/// shard, hedges, retries and restarts within the budget, and decides the
/// outcome. Driven by one traffic thread.
class QueryExecution {
public:
  QueryExecution(QueryRequest Accepted, std::shared_ptr<const ServiceView> View,
                 QueryDependencies Used);
  QueryExecution(const QueryExecution &) = delete;
  QueryExecution &operator=(const QueryExecution &) = delete;

  void start(common::MonotonicTime Now);

  /// Ends of attempts that are not this query's are ignored.
  void onAttemptEnded(const AttemptResult &Result, common::MonotonicTime Now);

  void onTimer(common::MonotonicTime Now);

  /// Gives the newest state of the service. The query stays pinned to its
  /// snapshot; a restart uses the new state.
  void onViewChanged(std::shared_ptr<const ServiceView> View);

  /// When onTimer is due; meaningless once finished.
  common::MonotonicTime nextTimer() const;

  /// Cancels what runs and decides the outcome from what is there.
  void abort(common::ResultCode Reason);

  bool isFinished() const;

  /// Only once finished.
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
  void handleLoss(std::size_t Shard, const RunningAttempt &Attempt,
                  AttemptStatus Status, common::MonotonicTime Now);
  void restartIfDue(common::MonotonicTime Now);
  void restart(common::MonotonicTime Now);

  void finishIfDone(common::MonotonicTime Now);
  bool isGoodEnoughAtTarget() const;
  void finish(common::ResultCode Reason);

  QueryRequest Request;
  /// The state that the snapshot and all positions refer to.
  std::shared_ptr<const ServiceView> Service;
  std::shared_ptr<const ServiceView> NewestService;
  QueryDependencies Dependencies;

  std::vector<common::SnapshotId> LostSnapshots;
  std::size_t SnapshotPosition = 0;
  std::optional<CoverageTally> Tally;
  ShardSet Shards;
  AttemptBook Attempts;
  ReplicaRounds Rounds;

  /// An attempt started whose work the upstream may have begun.
  bool MayHaveRun = false;
  std::optional<Outcome> Decided;
  QueryStatistics Statistics;
  AttemptPayment Payment;
};

} // namespace acaciacross::query

#endif
