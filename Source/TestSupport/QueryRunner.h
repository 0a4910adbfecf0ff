#ifndef ACACIACROSS_TESTSUPPORT_QUERYRUNNER_H
#define ACACIACROSS_TESTSUPPORT_QUERYRUNNER_H

#include "TestSupport/EventQueue.h"
#include "TestSupport/QueryRun.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace acaciacross::testsupport {

/// Does for queries on virtual time what a traffic thread does: routes replies
/// to them and runs their timers.
class QueryRunner final : public query::AttemptPort {
public:
  using FinishHandler = std::function<void(const QueryRun &)>;

  QueryRunner(EventQueue &Events, query::ReplicaSelector &Replicas,
              common::Incarnation Self);

  /// Both must be set before the first query.
  void setSearchers(query::AttemptPort &Searchers);
  void setFinishHandler(FinishHandler OnFinished);
  /// Keeps finished queries, which then see replies that come after their end.
  void keepFinished();

  /// Returns a number for abort().
  std::uint64_t submit(query::QueryRequest Request,
                       std::shared_ptr<const query::ServiceView> View,
                       query::HedgePolicy &Hedging, query::LoadBudget &Budget);
  void onResult(const query::AttemptResult &Result);
  void abort(std::uint64_t Number, common::ResultCode Reason);
  /// Gives the newest view to all running queries.
  void onViewChanged(const std::shared_ptr<const query::ServiceView> &Newest);

  /// Work of the queries that were not finished and forgotten.
  query::QueryStatistics runningStatistics() const;

  void start(const query::AttemptSpec &Spec) override;
  void cancel(const common::AttemptId &Id) override;

private:
  void runTimer(std::uint64_t Number);
  void afterStep(std::uint64_t Number);
  void finish(std::uint64_t Number);

  EventQueue &Events;
  query::ReplicaSelector &Replicas;
  query::AttemptIdSource Ids;
  query::AttemptPort *Searchers = nullptr;
  FinishHandler OnFinished;
  bool KeepsFinished = false;
  std::unordered_map<std::uint64_t, std::unique_ptr<QueryRun>> Runs;
  std::unordered_map<common::AttemptId, std::uint64_t> RunOfAttempt;
  std::uint64_t Submitted = 0;
  /// The run whose execution is being called.
  std::uint64_t Current = 0;
};

} // namespace acaciacross::testsupport

#endif
