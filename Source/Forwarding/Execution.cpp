#include "Forwarding/Execution.h"

#include <algorithm>
#include <utility>

namespace acaciacross::forwarding {

namespace {

constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;

// Searchers that were full or unreachable are worth asking again after about
// the time in which a queue empties or a connection is tried anew.
constexpr std::chrono::milliseconds RetryPause{150};

} // namespace

Execution::Execution(const ForwardingTools &Shared,
                     std::shared_ptr<const ForwardRequest> Whole,
                     AnswerSink &Receiver)
    : Tools(Shared), Request(std::move(Whole)), Sink(Receiver) {}

Execution::~Execution() { this->cancel(); }

void Execution::start() {
  for (RequestLeg &Each : this->Legs)
    Each.start();
  this->evaluate();
}

void Execution::tick() {
  if (this->Finished)
    return;
  for (RequestLeg &Each : this->Legs)
    Each.tick();
  this->evaluate();
}

std::optional<common::MonotonicTime> Execution::nextDue() const {
  if (this->Finished)
    return std::nullopt;
  common::MonotonicTime Due = this->Request->AnswerBy;
  if (const auto Extra = this->decideAt())
    Due = std::min(Due, *Extra);
  for (const RequestLeg &Each : this->Legs)
    if (const auto OfLeg = Each.nextDue())
      Due = std::min(Due, *OfLeg);
  return Due;
}

void Execution::cancel() {
  if (this->Finished)
    return;
  this->Finished = true;
  this->Tools.Port.stopAwaiting(*this);
  for (RequestLeg &Each : this->Legs)
    Each.abandon(AbandonMode::Cancel);
}

void Execution::onAttemptEnded(AttemptNumber Attempt, AttemptResult Result) {
  if (this->Finished)
    return;
  const auto Owner = std::ranges::find_if(
      this->Legs, [&](const RequestLeg &Each) { return Each.owns(Attempt); });
  if (Owner == this->Legs.end())
    return;
  Owner->onEnded(Attempt, std::move(Result));
  this->evaluate();
}

void Execution::onRoom(const common::ServiceName &Service) {
  if (this->Finished)
    return;
  for (RequestLeg &Each : this->Legs)
    if (Each.service() == Service)
      Each.onRoom();
  this->evaluate();
}

void Execution::addLeg(const common::ServiceName &Service, bool NeedsSuccess) {
  this->Legs.emplace_back(this->Tools, this->Request, Service, NeedsSuccess,
                          *this);
}

const std::deque<RequestLeg> &Execution::legs() const { return this->Legs; }

const ForwardRequest &Execution::request() const { return *this->Request; }

common::MonotonicTime Execution::now() const {
  return this->Tools.Time.monotonicNow();
}

bool Execution::mayHaveRun() const {
  return std::ranges::any_of(this->Legs, &RequestLeg::mayHaveRun);
}

Answer Execution::failure(bool IsLast) const {
  Answer Result;
  if (!this->mayHaveRun()) {
    Result.Kind = AnswerKind::Refused;
    Result.Code = common::ResultCode::NoUsableReplica;
    Result.Message.Status = Unavailable;
    Result.RetryAfter = RetryPause;
    return Result;
  }
  Result.Kind = AnswerKind::Failed;
  Result.Code = IsLast ? common::ResultCode::DeadlinePassed
                       : common::ResultCode::AttemptLost;
  Result.Message.Status = IsLast ? GatewayTimeout : BadGateway;
  return Result;
}

void Execution::evaluate() {
  if (this->Finished)
    return;
  const bool IsLast = this->now() >= this->Request->AnswerBy;
  if (auto Result = this->decide(IsLast))
    this->finish(std::move(*Result));
}

void Execution::finish(Answer Result) {
  this->Finished = true;
  this->Tools.Port.stopAwaiting(*this);
  // The searchers of attempts that are still open may finish, unless their time
  // is up; a closed connection would cost each a new set-up.
  const AbandonMode Mode = this->now() >= this->Request->AnswerBy
                               ? AbandonMode::Cancel
                               : AbandonMode::LetFinish;
  for (RequestLeg &Each : this->Legs) {
    Each.abandon(Mode);
    Result.Attempts.insert(Result.Attempts.end(), Each.notes().begin(),
                           Each.notes().end());
  }
  this->Sink.onAnswer(std::move(Result));
}

} // namespace acaciacross::forwarding
