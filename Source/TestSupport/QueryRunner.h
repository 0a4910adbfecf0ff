#ifndef ACACIACROSS_TESTSUPPORT_QUERYRUNNER_H
#define ACACIACROSS_TESTSUPPORT_QUERYRUNNER_H

#include "TestSupport/EventQueue.h"
#include "TestSupport/QueryRun.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace acaciacross::testsupport {

/// Runs queries on virtual time as a traffic thread does: routes replies to
/// them and runs their timers.
class QueryRunner final : public query::AttemptSender {
public:
  using FinishHandler = std::function<void(const QueryRun &)>;

  QueryRunner(EventQueue &Events, query::ReplicaSelector &Replicas,
              common::Incarnation Self);

  /// Both must be set before the first query.
  void setSearchers(query::AttemptSender &Searchers);
  void setFinishHandler(FinishHandler OnFinished);
  /// Keeps finished queries, which then receive the replies that arrive after
  /// they have finished.
  void keepFinishedQueries();

  /// Starts a query. Returns its number for abort().
  std::uint64_t submit(query::QueryRequest Request,
                       std::shared_ptr<const query::ServiceView> View,
                       query::HedgePolicy &Hedging, query::LoadBudget &Budget);
  void onResult(const query::AttemptResult &Result);
  void abort(std::uint64_t Number, common::ResultCode Reason);
  /// Passes the newest view to all running queries.
  void onViewChanged(const std::shared_ptr<const query::ServiceView> &Newest);

  /// Sum over the queries that are still kept: running ones, and finished ones
  /// after keepFinishedQueries().
  query::QueryStatistics runningStatistics() const;

  void start(const query::AttemptSpec &Spec) override;
  void cancel(const common::AttemptId &Id) override;

private:
  void runTimer(std::uint64_t Number);
  /// Finishes the query or schedules its next timer.
  void updateRun(std::uint64_t Number);
  void finish(std::uint64_t Number);

  EventQueue &Events;
  query::ReplicaSelector &Replicas;
  query::AttemptIdGenerator Ids;
  query::AttemptSender *Searchers = nullptr;
  FinishHandler OnFinished;
  bool KeepsFinished = false;
  std::unordered_map<std::uint64_t, std::unique_ptr<QueryRun>> Runs;
  std::unordered_map<common::AttemptId, std::uint64_t> RunNumberOfAttempt;
  std::uint64_t SubmittedCount = 0;
  /// Number of the query whose execution is being called.
  std::uint64_t CurrentRun = 0;
};

} // namespace acaciacross::testsupport

#endif
