#include "Forwarding/Execution.h"

#include "Forwarding/AvailabilityForecast.h"
#include "Forwarding/Refusal.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace acaciacross::forwarding {

namespace {

constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;

// About the time in which the queue of a full searcher empties or an
// unreachable searcher is tried again.
constexpr std::chrono::milliseconds RetryDelay{150};

} // namespace

Execution::Execution(const ForwardingDependencies &Dependencies,
                     std::shared_ptr<const ForwardRequest> Request,
                     AnswerSink &Sink)
    : Dependencies(Dependencies), Request(std::move(Request)), Sink(Sink) {}

Execution::~Execution() { this->cancel(); }

void Execution::start() {
  for (SubRequest &Sub : this->SubRequests)
    Sub.start();
  this->evaluate();
}

void Execution::tick() {
  if (this->Finished)
    return;
  for (SubRequest &Sub : this->SubRequests)
    Sub.tick();
  this->evaluate();
}

std::optional<common::MonotonicTime> Execution::nextDue() const {
  if (this->Finished)
    return std::nullopt;
  common::MonotonicTime Due = this->endsAt();
  if (const auto DecisionAt = this->nextDecisionAt())
    Due = std::min(Due, *DecisionAt);
  for (const SubRequest &Sub : this->SubRequests)
    if (const auto SubDue = Sub.nextDue())
      Due = std::min(Due, *SubDue);
  return Due;
}

void Execution::endBy(common::MonotonicTime Time) {
  this->EndLimit = std::min(this->EndLimit, Time);
}

void Execution::cancel() {
  if (this->Finished)
    return;
  this->Finished = true;
  this->Dependencies.Sender.cancelAwait(*this);
  for (SubRequest &Sub : this->SubRequests)
    Sub.abandon(AbandonMode::Cancel);
}

void Execution::onAttemptEnded(AttemptNumber Attempt, AttemptResult Result) {
  if (this->Finished)
    return;
  const auto Owner =
      std::ranges::find_if(this->SubRequests, [&](const SubRequest &Sub) {
        return Sub.owns(Attempt);
      });
  if (Owner == this->SubRequests.end())
    return;
  Owner->onEnded(Attempt, std::move(Result));
  this->evaluate();
}

void Execution::onConnectionAvailable(const common::ServiceName &Service) {
  if (this->Finished)
    return;
  if (!this->areWaitingPartsNeeded()) {
    this->Withheld.push_back(Service);
    this->evaluate();
    return;
  }
  this->resume(Service);
  this->evaluate();
}

bool Execution::areWaitingPartsNeeded() const { return true; }

void Execution::resume(const common::ServiceName &Service) {
  for (SubRequest &Sub : this->SubRequests)
    if (Sub.service() == Service)
      Sub.onConnectionAvailable();
}

void Execution::resumeWithheld() {
  if (this->Withheld.empty() || !this->areWaitingPartsNeeded())
    return;
  for (const common::ServiceName &Service : std::exchange(this->Withheld, {}))
    this->resume(Service);
}

void Execution::addSubRequest(const common::ServiceName &Service,
                              bool RequiresSuccess) {
  this->SubRequests.emplace_back(this->Dependencies, this->Request, Service,
                                 RequiresSuccess, *this);
}

const std::deque<SubRequest> &Execution::subRequests() const {
  return this->SubRequests;
}

const ForwardRequest &Execution::request() const { return *this->Request; }

common::MonotonicTime Execution::now() const {
  return this->Dependencies.Time.monotonicNow();
}

bool Execution::mayHaveRun() const {
  return std::ranges::any_of(this->SubRequests, &SubRequest::mayHaveRun);
}

Answer Execution::failure(bool IsDeadlinePassed) const {
  const bool IsInterrupted =
      IsDeadlinePassed && this->now() < this->Request->Deadline;
  Answer Result;
  if (!this->mayHaveRun()) {
    Result.Kind = AnswerKind::Refused;
    Result.Code = IsInterrupted ? common::ResultCode::NotServing
                                : common::ResultCode::NoUsableReplica;
    Result.Message.Status = Unavailable;
    Result.RetryAfter =
        IsInterrupted ? StoppingRetryDelay : this->untilUsable();
    return Result;
  }
  Result.Kind = AnswerKind::Failed;
  const bool IsOutOfTime =
      IsDeadlinePassed ||
      std::ranges::any_of(this->SubRequests, &SubRequest::hasGivenUp);
  if (IsInterrupted)
    Result.Code = common::ResultCode::Interrupted;
  else
    Result.Code = IsOutOfTime ? common::ResultCode::DeadlinePassed
                              : common::ResultCode::AttemptLost;
  Result.Message.Status = IsOutOfTime ? GatewayTimeout : BadGateway;
  return Result;
}

std::chrono::milliseconds Execution::untilUsable() const {
  std::vector<common::ServiceName> Services;
  for (const SubRequest &Sub : this->SubRequests)
    Services.push_back(Sub.service());
  const Route &Target = *this->Request->Target;
  const std::size_t MinServices =
      Target.Gather ? Target.Gather->minShards() : 1;
  return std::max(RetryDelay, AvailabilityForecast::untilUsable(
                                  this->Dependencies.Services, Target, Services,
                                  MinServices, this->now(), RetryDelay));
}

common::MonotonicTime Execution::endsAt() const {
  return std::min(this->Request->Deadline, this->EndLimit);
}

void Execution::evaluate() {
  if (this->Finished)
    return;
  this->resumeWithheld();
  const bool IsDeadlinePassed = this->now() >= this->endsAt();
  if (auto Result = this->decide(IsDeadlinePassed))
    this->finish(std::move(*Result));
}

void Execution::finish(Answer Result) {
  this->Finished = true;
  this->Dependencies.Sender.cancelAwait(*this);
  // Searchers may finish open attempts unless the deadline has passed, because
  // each closed connection would have to be set up again.
  const AbandonMode Mode = this->now() >= this->endsAt()
                               ? AbandonMode::Cancel
                               : AbandonMode::LetFinish;
  for (SubRequest &Sub : this->SubRequests) {
    Sub.abandon(Mode);
    Result.Attempts.insert(Result.Attempts.end(), Sub.endedAttempts().begin(),
                           Sub.endedAttempts().end());
  }
  this->Sink.onAnswer(std::move(Result));
}

} // namespace acaciacross::forwarding
