#include "Forwarding/RequestLeg.h"

#include <algorithm>
#include <utility>

namespace acaciacross::forwarding {

namespace {

// Hedges leave this part of the budget to repeats after losses and rejections,
// without which a shard is missing for certain.
constexpr double KeptForRepeats = 0.3;

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

} // namespace

RequestLeg::RequestLeg(const ForwardingTools &Shared,
                       std::shared_ptr<const ForwardRequest> Whole,
                       common::ServiceName Target, bool NeedsSuccess,
                       AttemptListener &EndListener)
    : Tools(Shared), Request(std::move(Whole)), Service(std::move(Target)),
      OnlySuccess(NeedsSuccess), Listener(EndListener),
      Statistics(Shared.Services.statistics(this->Request->Target->Name)) {}

void RequestLeg::start() {
  this->Tools.Services.budget(this->Service)
      .noteRequest(this->Tools.Time.monotonicNow());
  this->sendNext();
}

bool RequestLeg::owns(AttemptNumber Attempt) const {
  return std::ranges::any_of(
      this->Open, [&](const Pending &Each) { return Each.Number == Attempt; });
}

void RequestLeg::onEnded(AttemptNumber Attempt, AttemptResult Ended) {
  const auto Found = std::ranges::find_if(
      this->Open, [&](const Pending &Each) { return Each.Number == Attempt; });
  if (Found == this->Open.end())
    return;
  const Pending Finished = std::move(*Found);
  this->Open.erase(Found);
  this->note(Finished, Ended.End, Ended.Response.Status, false);
  const bool Answered = Ended.End == AttemptEnd::Answered;
  if (Answered && this->isUsable(Ended)) {
    this->Result = std::move(Ended);
    this->Ran = true;
    this->State = LegState::Answered;
    this->abandon(AbandonMode::LetFinish);
    return;
  }
  if (Ended.End == AttemptEnd::NotSent)
    --this->Sent;
  if (Answered || Ended.End == AttemptEnd::Lost)
    this->Ran = true;
  if (Answered)
    this->Result = std::move(Ended);
  if (this->Open.empty())
    this->sendNext();
}

void RequestLeg::onRoom() {
  if (this->State == LegState::Open && this->Open.empty())
    this->sendNext();
}

void RequestLeg::tick() {
  const common::MonotonicTime Now = this->Tools.Time.monotonicNow();
  if (!this->HedgeAt || Now < *this->HedgeAt)
    return;
  this->HedgeAt.reset();
  if (this->State != LegState::Open || this->Open.size() != 1 || this->Hedged ||
      this->Sent >= this->Request->Target->MaxAttempts)
    return;
  const std::shared_ptr<ReplicaRecord> Replica = this->choose();
  if (Replica == nullptr ||
      !this->Tools.Services.budget(this->Service)
           .withdraw(Now, this->Tools.Services.fleet(), KeptForRepeats))
    return;
  this->Hedged = true;
  this->launch(Replica);
}

std::optional<common::MonotonicTime> RequestLeg::nextDue() const {
  return this->State == LegState::Open ? this->HedgeAt : std::nullopt;
}

void RequestLeg::abandon(AbandonMode Mode) {
  for (const Pending &Each : this->Open) {
    this->Tools.Port.abandon(Each.Number, Mode);
    this->note(Each, AttemptEnd::Lost, 0, true);
    this->Ran = true;
  }
  this->Open.clear();
  this->HedgeAt.reset();
}

const common::ServiceName &RequestLeg::service() const { return this->Service; }

LegState RequestLeg::state() const { return this->State; }

const std::optional<AttemptResult> &RequestLeg::result() const {
  return this->Result;
}

bool RequestLeg::mayHaveRun() const { return this->Ran || !this->Open.empty(); }

const std::vector<AttemptNote> &RequestLeg::notes() const {
  return this->Notes;
}

// An answer without proof is not the searcher's.
bool RequestLeg::isUsable(const AttemptResult &Ended) const {
  if (Ended.Stamp.empty())
    return false;
  const int Status = Ended.Response.Status;
  return this->OnlySuccess ? isSuccess(Status) : Status < 500;
}

void RequestLeg::sendNext() {
  const Route &Target = *this->Request->Target;
  const common::MonotonicTime Now = this->Tools.Time.monotonicNow();
  const bool MayRepeat = Target.Repeat == Repeatability::Repeatable;
  const bool IsAllowed = (MayRepeat || !this->Ran) &&
                         this->Sent < Target.MaxAttempts &&
                         Now < this->Request->AnswerBy;
  if (!IsAllowed) {
    this->State = LegState::Exhausted;
    return;
  }
  const std::shared_ptr<ReplicaRecord> Replica = this->choose();
  if (Replica == nullptr) {
    if (this->canWaitForRoom())
      this->Tools.Port.awaitRoom(this->Service, this->Listener);
    else
      this->State = LegState::Exhausted;
    return;
  }
  if (this->Sent > 0 &&
      !this->Tools.Services.budget(this->Service)
           .withdraw(Now, this->Tools.Services.fleet(), 0.0)) {
    this->State = LegState::Exhausted;
    return;
  }
  this->launch(Replica);
  if (MayRepeat && !this->Hedged)
    this->HedgeAt =
        Now + std::chrono::duration_cast<common::MonotonicTime::duration>(
                  this->Tools.Hedges.delay(Target, *this->Statistics));
}

std::shared_ptr<ReplicaRecord> RequestLeg::choose() const {
  const Route &Target = *this->Request->Target;
  return this->Tools.Choice.choose(
      this->Tools.Services.replicas(this->Service), this->Tried,
      this->Tools.Port, this->Tools.Time.monotonicNow(),
      this->Statistics->typical(Target.LatencyTarget));
}

bool RequestLeg::canWaitForRoom() const {
  const common::MonotonicTime Now = this->Tools.Time.monotonicNow();
  const auto Typical =
      this->Statistics->typical(this->Request->Target->LatencyTarget);
  return std::ranges::any_of(
      this->Tools.Services.replicas(this->Service), [&](const auto &Each) {
        return Each->isListed() && Each->isReachable(Now) &&
               !Each->isSilent(Now, Typical) &&
               std::ranges::count(this->Tried, Each.get()) == 0;
      });
}

void RequestLeg::launch(const std::shared_ptr<ReplicaRecord> &Replica) {
  this->Tried.push_back(Replica.get());
  ++this->Sent;
  const AttemptNumber Number =
      this->Tools.Port.start(this->Request, Replica, this->Statistics,
                             this->Request->AnswerBy, this->Listener);
  this->Open.push_back({Number, Replica, this->Tools.Time.monotonicNow()});
}

void RequestLeg::note(const Pending &Attempt, AttemptEnd End, int Status,
                      bool Abandoned) {
  this->Notes.push_back({this->Service, Attempt.Replica->entry().Id, End,
                         Status, Abandoned,
                         this->Tools.Time.monotonicNow() - Attempt.SentAt});
}

} // namespace acaciacross::forwarding
