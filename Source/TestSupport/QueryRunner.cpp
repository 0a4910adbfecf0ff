#include "TestSupport/QueryRunner.h"

#include <algorithm>
#include <utility>

namespace acaciacross::testsupport {

QueryRunner::QueryRunner(EventQueue &Events, query::ReplicaSelector &Replicas,
                         common::Incarnation Self)
    : Events(Events), Replicas(Replicas), Ids(Self, 1) {}

void QueryRunner::setSearchers(query::AttemptSender &NewSearchers) {
  this->Searchers = &NewSearchers;
}

void QueryRunner::setFinishHandler(FinishHandler Handler) {
  this->OnFinished = std::move(Handler);
}

void QueryRunner::keepFinishedQueries() { this->KeepsFinished = true; }

std::uint64_t
QueryRunner::submit(query::QueryRequest Request,
                    std::shared_ptr<const query::ServiceView> View,
                    query::HedgePolicy &Hedging, query::LoadBudget &Budget) {
  const std::uint64_t Number = ++this->SubmittedCount;
  const query::QueryDependencies Dependencies{*this, this->Replicas, Hedging,
                                              Budget, this->Ids};
  auto Run = std::make_unique<QueryRun>(std::move(Request), std::move(View),
                                        Dependencies, this->Events.now());
  QueryRun &NewRun = *Run;
  this->Runs.emplace(Number, std::move(Run));
  this->CurrentRun = Number;
  NewRun.Execution.start(this->Events.now());
  this->updateRun(Number);
  return Number;
}

void QueryRunner::onResult(const query::AttemptResult &Result) {
  const auto It = this->RunNumberOfAttempt.find(Result.Attempt);
  if (It == this->RunNumberOfAttempt.end())
    return;
  const std::uint64_t Number = It->second;
  this->CurrentRun = Number;
  this->Runs.at(Number)->Execution.onAttemptEnded(Result, this->Events.now());
  this->updateRun(Number);
}

void QueryRunner::abort(std::uint64_t Number, common::ResultCode Reason) {
  const auto It = this->Runs.find(Number);
  if (It == this->Runs.end())
    return;
  this->CurrentRun = Number;
  It->second->Execution.abort(Reason);
  this->updateRun(Number);
}

void QueryRunner::onViewChanged(
    const std::shared_ptr<const query::ServiceView> &Newest) {
  for (const auto &[Number, Run] : this->Runs)
    Run->Execution.onViewChanged(Newest);
}

query::QueryStatistics QueryRunner::runningStatistics() const {
  query::QueryStatistics Sum;
  for (const auto &[Number, Run] : this->Runs)
    Sum += Run->Execution.statistics();
  return Sum;
}

void QueryRunner::start(const query::AttemptSpec &Spec) {
  this->RunNumberOfAttempt.emplace(Spec.Id, this->CurrentRun);
  this->Runs.at(this->CurrentRun)->Attempts.push_back(Spec.Id);
  this->Searchers->start(Spec);
}

void QueryRunner::cancel(const common::AttemptId &Id) {
  this->Searchers->cancel(Id);
}

void QueryRunner::runTimer(std::uint64_t Number) {
  const auto It = this->Runs.find(Number);
  if (It == this->Runs.end())
    return;
  QueryRun &Run = *It->second;
  Run.TimerAt = common::MonotonicTime::max();
  this->CurrentRun = Number;
  if (this->Events.now() >= Run.Execution.nextTimer())
    Run.Execution.onTimer(this->Events.now());
  this->updateRun(Number);
}

void QueryRunner::updateRun(std::uint64_t Number) {
  QueryRun &Run = *this->Runs.at(Number);
  if (Run.Execution.isFinished()) {
    this->finish(Number);
    return;
  }
  const common::MonotonicTime TimerAt =
      std::max(Run.Execution.nextTimer(), this->Events.now());
  if (TimerAt >= Run.TimerAt)
    return;
  Run.TimerAt = TimerAt;
  this->Events.at(TimerAt, [this, Number] { this->runTimer(Number); });
}

void QueryRunner::finish(std::uint64_t Number) {
  QueryRun &Run = *this->Runs.at(Number);
  if (!Run.IsReported) {
    Run.IsReported = true;
    Run.FinishedAt = this->Events.now();
    if (this->OnFinished)
      this->OnFinished(Run);
  }
  if (this->KeepsFinished)
    return;
  for (const common::AttemptId &Id : Run.Attempts)
    this->RunNumberOfAttempt.erase(Id);
  this->Runs.erase(Number);
}

} // namespace acaciacross::testsupport
