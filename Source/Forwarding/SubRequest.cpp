#include "Forwarding/SubRequest.h"

#include <algorithm>
#include <utility>

namespace acaciacross::forwarding {

namespace {

// Share of the budget that hedges leave to retries after losses and rejections.
// Without such a retry a shard is missing for certain.
constexpr double RetryReserve = 0.3;

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

} // namespace

SubRequest::SubRequest(const ForwardingDependencies &Dependencies,
                       std::shared_ptr<const ForwardRequest> Request,
                       common::ServiceName Service, bool RequiresSuccess,
                       AttemptListener &Listener)
    : Dependencies(Dependencies), Request(std::move(Request)),
      Service(std::move(Service)), RequiresSuccess(RequiresSuccess),
      Listener(Listener), Statistics(Dependencies.Services.statistics(
                              this->Request->Target->Name)) {}

void SubRequest::start() {
  this->Dependencies.Services.budget(this->Service)
      .recordRequest(this->Dependencies.Time.monotonicNow());
  this->sendNext();
}

bool SubRequest::owns(AttemptNumber Attempt) const {
  return std::ranges::any_of(this->OpenAttempts,
                             [&](const OpenAttempt &Candidate) {
                               return Candidate.Number == Attempt;
                             });
}

void SubRequest::onEnded(AttemptNumber Attempt, AttemptResult Ended) {
  const auto Found = std::ranges::find_if(this->OpenAttempts,
                                          [&](const OpenAttempt &Candidate) {
                                            return Candidate.Number == Attempt;
                                          });
  if (Found == this->OpenAttempts.end())
    return;
  const OpenAttempt EndedAttempt = std::move(*Found);
  this->OpenAttempts.erase(Found);
  this->recordAttempt(EndedAttempt, Ended.End, Ended.Response.Status, false);
  const bool IsAnswered = Ended.End == AttemptEnd::Answered;
  if (IsAnswered && this->isUsable(Ended)) {
    this->Result = std::move(Ended);
    this->MayHaveRun = true;
    this->State = SubRequestState::Answered;
    this->abandon(AbandonMode::LetFinish);
    return;
  }
  if (Ended.End == AttemptEnd::NotSent)
    --this->SentCount;
  if (IsAnswered || Ended.End == AttemptEnd::Lost)
    this->MayHaveRun = true;
  if (IsAnswered)
    this->Result = std::move(Ended);
  if (this->OpenAttempts.empty())
    this->sendNext();
}

void SubRequest::onConnectionAvailable() {
  if (!this->isWaiting())
    return;
  if (this->isTooLate())
    this->giveUp();
  else
    this->sendNext();
}

void SubRequest::tick() {
  const common::MonotonicTime Now = this->Dependencies.Time.monotonicNow();
  if (this->HedgeAt && Now >= *this->HedgeAt)
    this->startHedge(Now);
  if (this->isWaiting() && this->isTooLate()) {
    this->giveUp();
    return;
  }
  if (!this->ResumeAt || Now < *this->ResumeAt)
    return;
  this->ResumeAt.reset();
  this->onConnectionAvailable();
}

void SubRequest::startHedge(common::MonotonicTime Now) {
  this->HedgeAt.reset();
  if (this->State != SubRequestState::Open || this->OpenAttempts.size() != 1 ||
      this->IsHedged || this->SentCount >= this->Request->Target->MaxAttempts)
    return;
  const std::shared_ptr<ReplicaRecord> Replica = this->chooseReplica();
  if (Replica == nullptr ||
      !this->Dependencies.Services.budget(this->Service)
           .tryWithdraw(Now, this->Dependencies.Services.fleet(), RetryReserve))
    return;
  this->IsHedged = true;
  this->startAttempt(Replica);
}

std::optional<common::MonotonicTime> SubRequest::nextDue() const {
  if (this->State != SubRequestState::Open)
    return std::nullopt;
  std::optional<common::MonotonicTime> Due;
  for (const auto &At : {this->HedgeAt, this->ResumeAt})
    if (At)
      Due = std::min(Due.value_or(*At), *At);
  // Giving up is due after the time, not at it.
  if (this->GiveUpAt && this->isWaiting())
    Due = std::min(Due.value_or(common::MonotonicTime::max()),
                   *this->GiveUpAt + common::MonotonicTime::duration(1));
  return Due;
}

void SubRequest::abandon(AbandonMode Mode) {
  for (const OpenAttempt &Abandoned : this->OpenAttempts) {
    this->Dependencies.Sender.abandon(Abandoned.Number, Mode);
    this->recordAttempt(Abandoned, AttemptEnd::Lost, 0, true);
    this->MayHaveRun = true;
  }
  this->OpenAttempts.clear();
  this->HedgeAt.reset();
}

const common::ServiceName &SubRequest::service() const { return this->Service; }

SubRequestState SubRequest::state() const { return this->State; }

bool SubRequest::isWaiting() const {
  return this->State == SubRequestState::Open && this->OpenAttempts.empty();
}

bool SubRequest::isAnswerExpected() const {
  return this->State == SubRequestState::Open && !this->OpenAttempts.empty() &&
         this->HedgeAt &&
         this->Dependencies.Time.monotonicNow() < *this->HedgeAt;
}

const std::optional<AttemptResult> &SubRequest::result() const {
  return this->Result;
}

bool SubRequest::mayHaveRun() const {
  return this->MayHaveRun || !this->OpenAttempts.empty();
}

bool SubRequest::hasGivenUp() const { return this->GaveUp; }

const std::vector<AttemptSummary> &SubRequest::endedAttempts() const {
  return this->EndedAttempts;
}

// A response without a stamp does not come from the searcher.
bool SubRequest::isUsable(const AttemptResult &Ended) const {
  if (Ended.Stamp.empty())
    return false;
  const int Status = Ended.Response.Status;
  return this->RequiresSuccess ? isSuccess(Status) : Status < 500;
}

void SubRequest::sendNext() {
  const Route &Target = *this->Request->Target;
  const common::MonotonicTime Now = this->Dependencies.Time.monotonicNow();
  const bool IsRepeatable = Target.Repeat == Repeatability::Repeatable;
  const bool IsAllowed = (IsRepeatable || !this->MayHaveRun) &&
                         this->SentCount < Target.MaxAttempts &&
                         Now < this->Request->Deadline;
  if (!IsAllowed) {
    this->State = SubRequestState::Exhausted;
    return;
  }
  const std::shared_ptr<ReplicaRecord> Replica = this->chooseReplica();
  if (Replica == nullptr) {
    if (this->canWaitForConnection()) {
      this->awaitConnection();
      return;
    }
    this->ResumeAt = this->nextPauseEnd();
    if (!this->ResumeAt)
      this->State = SubRequestState::Exhausted;
    return;
  }
  if (this->SentCount > 0 &&
      !this->Dependencies.Services.budget(this->Service)
           .tryWithdraw(Now, this->Dependencies.Services.fleet(), 0.0)) {
    this->State = SubRequestState::Exhausted;
    return;
  }
  this->startAttempt(Replica);
  if (IsRepeatable && !this->IsHedged)
    this->HedgeAt =
        Now + std::chrono::duration_cast<common::MonotonicTime::duration>(
                  this->Dependencies.Hedges.delay(Target, *this->Statistics));
}

std::span<const std::shared_ptr<ReplicaRecord>> SubRequest::replicas() const {
  return this->Dependencies.Services.replicas(this->Service,
                                              *this->Request->Target);
}

std::shared_ptr<ReplicaRecord> SubRequest::chooseReplica() const {
  const Route &Target = *this->Request->Target;
  return this->Dependencies.Selector.choose(
      this->replicas(), this->Tried, this->Dependencies.Sender,
      this->Dependencies.Time.monotonicNow(),
      this->Statistics->typical(Target.LatencyTarget));
}

bool SubRequest::canWaitForConnection() const {
  const common::MonotonicTime Now = this->Dependencies.Time.monotonicNow();
  const auto Typical =
      this->Statistics->typical(this->Request->Target->LatencyTarget);
  return std::ranges::any_of(this->replicas(), [&](const auto &Replica) {
    return Replica->isUsable(Now) && !Replica->isUnresponsive(Now, Typical) &&
           !this->wasTried(*Replica);
  });
}

bool SubRequest::isTooLate() const {
  return this->GiveUpAt &&
         this->Dependencies.Time.monotonicNow() > *this->GiveUpAt;
}

// In an overload, attempts that wait for long would still be sent shortly
// before the deadline, and take the place of those that can be answered.
void SubRequest::giveUp() {
  this->GaveUp = true;
  this->State = SubRequestState::Exhausted;
}

void SubRequest::awaitConnection() {
  const Route &Target = *this->Request->Target;
  this->GiveUpAt = this->Request->Deadline -
                   std::chrono::duration_cast<common::MonotonicTime::duration>(
                       this->Statistics->unloadedLatency(Target.LatencyTarget));
  this->Dependencies.Sender.awaitConnection(
      this->Service, this->Listener,
      {Target.Priority,
       this->Request->latestStart(
           this->Statistics->typical(Target.LatencyTarget)),
       this->Request->Caller});
}

std::optional<common::MonotonicTime> SubRequest::nextPauseEnd() const {
  const common::MonotonicTime Now = this->Dependencies.Time.monotonicNow();
  const common::MonotonicTime LatestStart = this->Request->latestStart(
      this->Statistics->typical(this->Request->Target->LatencyTarget));
  std::optional<common::MonotonicTime> Earliest;
  for (const auto &Replica : this->replicas()) {
    const common::MonotonicTime End = Replica->pausedUntil();
    if (!Replica->isListed() || !Replica->isPaused(Now) || End > LatestStart ||
        this->wasTried(*Replica))
      continue;
    Earliest = std::min(Earliest.value_or(End), End);
  }
  return Earliest;
}

bool SubRequest::wasTried(const ReplicaRecord &Replica) const {
  return std::ranges::count(this->Tried, &Replica) > 0;
}

void SubRequest::startAttempt(const std::shared_ptr<ReplicaRecord> &Replica) {
  this->Tried.push_back(Replica.get());
  ++this->SentCount;
  const AttemptNumber Number =
      this->Dependencies.Sender.start(this->Request, Replica, this->Statistics,
                                      this->Request->Deadline, this->Listener);
  this->OpenAttempts.push_back(
      {Number, Replica, this->Dependencies.Time.monotonicNow()});
}

void SubRequest::recordAttempt(const OpenAttempt &Attempt, AttemptEnd End,
                               int Status, bool IsAbandoned) {
  this->EndedAttempts.push_back(
      {this->Service, Attempt.Replica->entry().Id, End, Status, IsAbandoned,
       this->Dependencies.Time.monotonicNow() - Attempt.SentAt});
}

} // namespace acaciacross::forwarding
