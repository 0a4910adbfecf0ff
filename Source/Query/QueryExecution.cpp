#include "Query/QueryExecution.h"

#include "Query/OutcomeDecision.h"
#include "Query/ReplyCheck.h"
#include "Query/SnapshotSelector.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace acaciacross::query {

namespace {

// Delay until an attempt that found no free replica or no budget is tried
// again. A replica becomes free when an attempt on it ends, and the budget
// grows with other queries.
constexpr std::chrono::milliseconds RetryBackoff{5};

// Two attempts at a time are enough to bypass one slow replica.
constexpr std::size_t MaxRunningPerShard = 2;

} // namespace

QueryExecution::QueryExecution(QueryRequest Request,
                               std::shared_ptr<const ServiceView> Service,
                               QueryDependencies Dependencies)
    : Request(std::move(Request)), Service(std::move(Service)),
      NewestService(this->Service), Dependencies(Dependencies),
      Attempts(this->Request, this->Dependencies),
      Rounds(this->Dependencies.Selector),
      Budget(this->Dependencies.Budget, this->Statistics) {}

void QueryExecution::start(common::MonotonicTime Now) {
  if (Now >= this->Request.Deadline) {
    this->finish(common::ResultCode::DeadlineTooShort);
    return;
  }
  if (!this->pinSnapshot()) {
    this->finish(common::ResultCode::NoUsableSnapshot);
    return;
  }
  for (std::size_t Shard = 0; Shard < this->Shards.size(); ++Shard)
    this->tryAttempt(Shard, Now);
  this->finishIfDone(Now);
}

void QueryExecution::onAttemptEnded(const AttemptResult &Result,
                                    common::MonotonicTime Now) {
  const std::optional<std::size_t> ShardIndex =
      this->Attempts.shardIndexOf(Result.Attempt);
  if (!ShardIndex)
    return;
  const std::size_t Shard = *ShardIndex;
  const RunningAttempt Attempt = this->Attempts.end(
      *this->Service, this->Shards[Shard], Result.Attempt, Result.Status);

  const ReplyCheck Check{Attempt.Id, this->snapshot().Id,
                         this->snapshot().Shards[Shard]};
  if (Result.Status == AttemptStatus::Answered && Result.Reply &&
      Check.accepts(*Result.Reply))
    this->acceptReply(Shard, Attempt, Result);
  else
    this->handleUnanswered(Shard, Attempt, Result.Status, Now);
  this->restartIfDue(Now);
  this->finishIfDone(Now);
}

void QueryExecution::onTimer(common::MonotonicTime Now) {
  if (this->isFinished())
    return;
  // Checked before anything is sent: after a pause of the process the timer may
  // run long after it was due.
  if (Now >= this->Request.Deadline) {
    this->finish(common::ResultCode::DeadlinePassed);
    return;
  }
  for (std::size_t Shard = 0; Shard < this->Shards.size(); ++Shard) {
    const ShardProgress &Progress = this->Shards[Shard];
    if (Progress.RetryAt && Now >= *Progress.RetryAt)
      this->tryAttempt(Shard, Now);
    else if (Progress.HedgeAt && Now >= *Progress.HedgeAt)
      this->tryHedge(Shard, Now);
  }
  this->restartIfDue(Now);
  this->finishIfDone(Now);
}

void QueryExecution::onViewChanged(std::shared_ptr<const ServiceView> Service) {
  this->NewestService = std::move(Service);
}

common::MonotonicTime QueryExecution::nextTimer() const {
  common::MonotonicTime Next = this->Request.Deadline;
  if (this->canAnswerAtLatencyTarget())
    Next = std::min(Next, this->Request.LatencyTarget);
  return std::min(Next, this->Shards.nextTimer().value_or(Next));
}

void QueryExecution::abort(common::ResultCode Reason) {
  if (!this->isFinished())
    this->finish(Reason);
}

bool QueryExecution::isFinished() const {
  return this->FinalOutcome.has_value();
}

const Outcome &QueryExecution::outcome() const { return *this->FinalOutcome; }

const QueryRequest &QueryExecution::request() const { return this->Request; }

const QueryStatistics &QueryExecution::statistics() const {
  return this->Statistics;
}

const SnapshotView &QueryExecution::snapshot() const {
  return this->Service->Snapshots[this->SnapshotPosition];
}

bool QueryExecution::pinSnapshot() {
  const std::optional<std::size_t> Selected =
      SnapshotSelector().select(*this->Service, this->ExcludedSnapshots);
  if (!Selected)
    return false;
  this->SnapshotPosition = *Selected;
  this->Coverage.emplace(this->snapshot());
  this->Shards.reset(this->snapshot().Shards.size());
  return true;
}

void QueryExecution::tryAttempt(std::size_t Shard, common::MonotonicTime Now) {
  ShardProgress &Progress = this->Shards[Shard];
  Progress.RetryAt.reset();

  const ShardView &View = this->snapshot().Shards[Shard];
  const auto Replica = this->Rounds.nextReplica(*this->Service, View, Progress);
  if (!Replica) {
    this->Rounds.beginNextRound(*this->Service, View, Progress);
    if (!Progress.IsGivenUp)
      Progress.RetryAt = Now + RetryBackoff;
    return;
  }
  if (!this->Budget.tryChargeNext(Progress)) {
    Progress.RetryAt = Now + RetryBackoff;
    return;
  }
  this->startAttempt(Shard, *Replica, false, Now);
}

void QueryExecution::startAttempt(std::size_t Shard,
                                  std::uint32_t SearcherPosition, bool IsHedge,
                                  common::MonotonicTime Now) {
  ShardProgress &Progress = this->Shards[Shard];
  Progress.HedgeAt.reset();
  const auto HedgeDelay = this->Dependencies.Hedging.delay();
  if (this->Request.Repeatable && !IsHedge && HedgeDelay)
    Progress.HedgeAt =
        Now + std::chrono::duration_cast<common::MonotonicTime::duration>(
                  *HedgeDelay);
  this->Attempts.start(*this->Service, this->snapshot(), Shard,
                       SearcherPosition, IsHedge, Progress);
}

void QueryExecution::tryHedge(std::size_t Shard, common::MonotonicTime Now) {
  ShardProgress &Progress = this->Shards[Shard];
  Progress.HedgeAt.reset();
  if (Progress.Running.empty() || Progress.Running.size() >= MaxRunningPerShard)
    return;

  const auto Replica = this->Rounds.nextReplica(
      *this->Service, this->snapshot().Shards[Shard], Progress);
  if (!Replica || !this->Budget.tryChargeHedge()) {
    Progress.HedgeAt = Now + RetryBackoff;
    return;
  }
  this->startAttempt(Shard, *Replica, true, Now);
}

void QueryExecution::cancelRunning(ShardProgress &Progress) {
  const std::uint32_t Count = this->Attempts.cancel(*this->Service, Progress);
  this->Statistics.CancelledAttempts += Count;
  if (Count > 0)
    this->MayHaveRun = true;
}

void QueryExecution::acceptReply(std::size_t Shard,
                                 const RunningAttempt &Attempt,
                                 const AttemptResult &Result) {
  ShardProgress &Progress = this->Shards[Shard];
  this->MayHaveRun = true;
  if (Attempt.IsHedge)
    ++this->Statistics.HedgesWon;
  this->cancelRunning(Progress);
  Progress.IsAnswered = true;
  Progress.Body = Result.Reply->Body;
  Progress.HedgeAt.reset();
  Progress.RetryAt.reset();
  this->Coverage->markAnswered(Shard);
  this->Dependencies.Hedging.onReply(Result.Elapsed);
}

void QueryExecution::handleUnanswered(std::size_t Shard,
                                      const RunningAttempt &Attempt,
                                      AttemptStatus Status,
                                      common::MonotonicTime Now) {
  ShardProgress &Progress = this->Shards[Shard];
  if (Status == AttemptStatus::Answered)
    ++this->Statistics.DiscardedReplies;
  if (Status == AttemptStatus::Shed)
    ++this->Statistics.ShedAttempts;
  if (!provesNotRun(Status))
    this->MayHaveRun = true;

  const bool IsDataGone = Status == AttemptStatus::SnapshotGone ||
                          Status == AttemptStatus::ShardGone;
  if (Status == AttemptStatus::NotSent || IsDataGone)
    Progress.ExcludedReplicas.push_back(Attempt.SearcherPosition);
  Progress.IsSnapshotGone = Progress.IsSnapshotGone || IsDataGone;

  if (!Progress.Running.empty())
    return;
  Progress.HedgeAt.reset();
  if (Status == AttemptStatus::NotSent) {
    Progress.IsNextAttemptFree = true;
    ++this->Statistics.FreeReplacements;
  }
  // A searcher whose clock is ahead reports an expired deadline too early. The
  // clock of this VM decides, and another replica is asked while time is left.
  const bool IsDeadlinePassed = Now >= this->Request.Deadline;
  const bool IsRepeatForbidden =
      !this->Request.Repeatable && !provesNotRun(Status);
  if (IsDeadlinePassed || IsRepeatForbidden) {
    Progress.IsGivenUp = true;
    return;
  }
  this->tryAttempt(Shard, Now);
}

void QueryExecution::restartIfDue(common::MonotonicTime Now) {
  if (!this->Shards.isRestartDue() || Now >= this->Request.Deadline)
    return;
  // A restart runs every shard again. A request that may not be repeated can
  // restart only while no searcher can have run any of it.
  const bool MayAnyHaveRun = this->MayHaveRun || this->Attempts.isAnyRunning();
  if (MayAnyHaveRun && !this->Request.Repeatable)
    return;
  this->restart(Now);
}

void QueryExecution::restart(common::MonotonicTime Now) {
  std::vector<common::SnapshotId> Excluded = this->ExcludedSnapshots;
  Excluded.push_back(this->snapshot().Id);
  const std::optional<std::size_t> Next =
      SnapshotSelector().select(*this->NewestService, Excluded);
  if (!Next)
    return;
  const auto ShardCount = static_cast<std::uint32_t>(
      this->NewestService->Snapshots[*Next].Shards.size());
  if (!this->Budget.tryChargeRestart(ShardCount))
    return;

  for (ShardProgress &Progress : this->Shards.all())
    this->cancelRunning(Progress);
  this->Service = this->NewestService;
  this->ExcludedSnapshots = std::move(Excluded);
  this->pinSnapshot();
  for (std::size_t Shard = 0; Shard < this->Shards.size(); ++Shard) {
    this->Shards[Shard].IsFirstAttemptDue = false;
    this->Shards[Shard].IsNextAttemptFree = true;
    this->tryAttempt(Shard, Now);
  }
}

void QueryExecution::finishIfDone(common::MonotonicTime Now) {
  if (this->isFinished())
    return;
  if (!this->Shards.isAnyShardPending()) {
    this->finish(Now >= this->Request.Deadline
                     ? common::ResultCode::DeadlinePassed
                     : common::ResultCode::NoUsableReplica);
    return;
  }
  if (Now >= this->Request.LatencyTarget && this->canAnswerAtLatencyTarget())
    this->finish(common::ResultCode::PartialCoverage);
}

bool QueryExecution::canAnswerAtLatencyTarget() const {
  if (!this->Coverage || this->Coverage->coverage() <= 0.0)
    return false;
  if (this->Coverage->coverage() >= this->Request.CoverageTarget)
    return true;
  // No reply is on its way: the remaining shards wait for budget or for a free
  // replica, which must not delay the answer.
  return !this->Attempts.isAnyRunning();
}

void QueryExecution::finish(common::ResultCode Reason) {
  for (ShardProgress &Progress : this->Shards.all()) {
    this->cancelRunning(Progress);
    Progress.HedgeAt.reset();
    Progress.RetryAt.reset();
  }
  const SnapshotView *PinnedSnapshot =
      this->Coverage ? &this->snapshot() : nullptr;
  this->FinalOutcome =
      OutcomeDecision(PinnedSnapshot, this->Shards.all(), this->MayHaveRun)
          .decide(Reason);
}

} // namespace acaciacross::query
