#include "Query/QueryExecution.h"

#include "Query/OutcomeDecision.h"
#include "Query/ReplyCheck.h"
#include "Query/SnapshotSelector.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace acaciacross::query {

namespace {

// A replica below its quota frees up when an attempt on it ends, and the budget
// grows with other queries; both are looked at again after this time.
constexpr std::chrono::milliseconds RetryBackoff{5};

// Two attempts at a time are enough to get past one slow replica.
constexpr std::size_t MaxRunningPerShard = 2;

} // namespace

QueryExecution::QueryExecution(QueryRequest Accepted,
                               std::shared_ptr<const ServiceView> View,
                               QueryDependencies Used)
    : Request(std::move(Accepted)), Service(std::move(View)),
      NewestService(this->Service), Dependencies(Used),
      Attempts(this->Request, this->Dependencies),
      Rounds(this->Dependencies.Replicas),
      Payment(this->Dependencies.Budget, this->Statistics) {}

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
  const std::optional<std::size_t> Known =
      this->Attempts.shardOf(Result.Attempt);
  if (!Known)
    return;
  const std::size_t Shard = *Known;
  const RunningAttempt Attempt = this->Attempts.end(
      *this->Service, this->Shards[Shard], Result.Attempt, Result.Status);

  const ReplyCheck Check{Attempt.Id, this->snapshot().Id,
                         this->snapshot().Shards[Shard]};
  if (Result.Status == AttemptStatus::Answered && Result.Reply &&
      Check.accepts(*Result.Reply))
    this->acceptReply(Shard, Attempt, Result);
  else
    this->handleLoss(Shard, Attempt, Result.Status, Now);
  this->restartIfDue(Now);
  this->finishIfDone(Now);
}

void QueryExecution::onTimer(common::MonotonicTime Now) {
  if (this->isFinished())
    return;
  // Checked before anything is sent: a process that was paused may come here
  // long after the timer was due.
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

void QueryExecution::onViewChanged(std::shared_ptr<const ServiceView> View) {
  this->NewestService = std::move(View);
}

common::MonotonicTime QueryExecution::nextTimer() const {
  common::MonotonicTime Next = this->Request.Deadline;
  if (this->isGoodEnoughAtTarget())
    Next = std::min(Next, this->Request.LatencyTarget);
  return std::min(Next, this->Shards.nextTimer().value_or(Next));
}

void QueryExecution::abort(common::ResultCode Reason) {
  if (!this->isFinished())
    this->finish(Reason);
}

bool QueryExecution::isFinished() const { return this->Decided.has_value(); }

const Outcome &QueryExecution::outcome() const { return *this->Decided; }

const QueryRequest &QueryExecution::request() const { return this->Request; }

const QueryStatistics &QueryExecution::statistics() const {
  return this->Statistics;
}

const SnapshotView &QueryExecution::snapshot() const {
  return this->Service->Snapshots[this->SnapshotPosition];
}

bool QueryExecution::pinSnapshot() {
  const std::optional<std::size_t> Chosen =
      SnapshotSelector().select(*this->Service, this->LostSnapshots);
  if (!Chosen)
    return false;
  this->SnapshotPosition = *Chosen;
  this->Tally.emplace(this->snapshot());
  this->Shards.reset(this->snapshot().Shards.size());
  return true;
}

void QueryExecution::tryAttempt(std::size_t Shard, common::MonotonicTime Now) {
  ShardProgress &Progress = this->Shards[Shard];
  Progress.RetryAt.reset();

  const ShardView &View = this->snapshot().Shards[Shard];
  const auto Replica = this->Rounds.next(*this->Service, View, Progress);
  if (!Replica) {
    this->Rounds.beginNext(*this->Service, View, Progress);
    if (!Progress.IsGivenUp)
      Progress.RetryAt = Now + RetryBackoff;
    return;
  }
  if (!this->Payment.payNext(Progress)) {
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

  const auto Replica = this->Rounds.next(
      *this->Service, this->snapshot().Shards[Shard], Progress);
  if (!Replica || !this->Payment.payHedge()) {
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
  this->Tally->markAnswered(Shard);
  this->Dependencies.Hedging.onReply(Result.Elapsed);
}

void QueryExecution::handleLoss(std::size_t Shard,
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

  const bool IsHoldingNothing = Status == AttemptStatus::SnapshotGone ||
                                Status == AttemptStatus::ShardGone;
  if (Status == AttemptStatus::NotSent || IsHoldingNothing)
    Progress.Dropped.push_back(Attempt.SearcherPosition);
  Progress.IsSnapshotLost = Progress.IsSnapshotLost || IsHoldingNothing;

  if (!Progress.Running.empty())
    return;
  Progress.HedgeAt.reset();
  if (Status == AttemptStatus::NotSent) {
    Progress.IsPrepaid = true;
    ++this->Statistics.FreeReplacements;
  }
  // A searcher whose clock is ahead says "expired" too early; the clock of this
  // VM decides, and another replica is asked while time is left.
  const bool IsExpired = Now >= this->Request.Deadline;
  const bool IsRepeatForbidden =
      !this->Request.Repeatable && !provesNotRun(Status);
  if (IsExpired || IsRepeatForbidden) {
    Progress.IsGivenUp = true;
    return;
  }
  this->tryAttempt(Shard, Now);
}

void QueryExecution::restartIfDue(common::MonotonicTime Now) {
  if (!this->Shards.isRestartDue() || Now >= this->Request.Deadline)
    return;
  // A restart runs every shard again, so that it is open to a request that may
  // not be repeated only while nothing of it can have run.
  const bool CanHaveRun = this->MayHaveRun || this->Attempts.isAnyRunning();
  if (CanHaveRun && !this->Request.Repeatable)
    return;
  this->restart(Now);
}

void QueryExecution::restart(common::MonotonicTime Now) {
  std::vector<common::SnapshotId> Lost = this->LostSnapshots;
  Lost.push_back(this->snapshot().Id);
  const std::optional<std::size_t> Next =
      SnapshotSelector().select(*this->NewestService, Lost);
  if (!Next)
    return;
  const auto Cost = static_cast<std::uint32_t>(
      this->NewestService->Snapshots[*Next].Shards.size());
  if (!this->Payment.payRestart(Cost))
    return;

  for (ShardProgress &Progress : this->Shards.all())
    this->cancelRunning(Progress);
  this->Service = this->NewestService;
  this->LostSnapshots = std::move(Lost);
  this->pinSnapshot();
  for (std::size_t Shard = 0; Shard < this->Shards.size(); ++Shard) {
    this->Shards[Shard].IsFirstAttemptDue = false;
    this->Shards[Shard].IsPrepaid = true;
    this->tryAttempt(Shard, Now);
  }
}

void QueryExecution::finishIfDone(common::MonotonicTime Now) {
  if (this->isFinished())
    return;
  if (!this->Shards.isAnythingPending()) {
    this->finish(Now >= this->Request.Deadline
                     ? common::ResultCode::DeadlinePassed
                     : common::ResultCode::NoUsableReplica);
    return;
  }
  if (Now >= this->Request.LatencyTarget && this->isGoodEnoughAtTarget())
    this->finish(common::ResultCode::PartialCoverage);
}

bool QueryExecution::isGoodEnoughAtTarget() const {
  if (!this->Tally || this->Tally->coverage() <= 0.0)
    return false;
  if (this->Tally->coverage() >= this->Request.CoverageTarget)
    return true;
  // What only waits for budget or a free replica would hold the answer back.
  return !this->Attempts.isAnyRunning();
}

void QueryExecution::finish(common::ResultCode Reason) {
  for (ShardProgress &Progress : this->Shards.all()) {
    this->cancelRunning(Progress);
    Progress.HedgeAt.reset();
    Progress.RetryAt.reset();
  }
  const SnapshotView *Pinned = this->Tally ? &this->snapshot() : nullptr;
  this->Decided = OutcomeDecision(Pinned, this->Shards.all(), this->MayHaveRun)
                      .decide(Reason);
}

} // namespace acaciacross::query
