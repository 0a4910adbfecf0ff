#include "Gateway/ForwardingHandler.h"

#include "Forwarding/GatherExecution.h"
#include "Forwarding/SingleExecution.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace acaciacross::gateway {

namespace {

using common::ResultCode;
using forwarding::AnswerKind;

constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int RequestTimeout = 408;
constexpr int ContentTooLarge = 413;
constexpr int HeadTooLarge = 431;
constexpr int Unavailable = 503;

// An answer at the deadline must leave this VM before the timeout of the route
// has passed.
constexpr std::chrono::milliseconds AnswerMargin{10};
// The first configuration arrives within one or two seconds of the start.
constexpr std::chrono::milliseconds StartupRetryDelay{300};
// A connection that was rejected for lack of memory is gone after about this
// time.
constexpr std::chrono::milliseconds MemoryRetryDelay{1'000};
// Complete answers within the latency target are counted in the metrics; only
// one in this many is logged, as a sample.
constexpr std::uint64_t OnTargetAnswersPerLine = 64;

struct Rejection {
  ResultCode Code;
  int Status;
};

Rejection rejectionFor(http::ParseProblem Problem) {
  switch (Problem) {
  case http::ParseProblem::None:
    return {ResultCode::RequestTooSlow, RequestTimeout};
  case http::ParseProblem::HeadTooLarge:
    return {ResultCode::RequestTooLarge, HeadTooLarge};
  case http::ParseProblem::BodyTooLarge:
    return {ResultCode::RequestTooLarge, ContentTooLarge};
  case http::ParseProblem::Malformed:
    break;
  }
  return {ResultCode::MalformedRequest, BadRequest};
}

common::LogEvent eventFor(const forwarding::Answer &Result) {
  switch (Result.Kind) {
  case AnswerKind::Refused:
    return common::LogEvent::RequestRefused;
  case AnswerKind::Failed:
    return common::LogEvent::RequestFailed;
  case AnswerKind::Upstream:
  case AnswerKind::Gathered:
    break;
  }
  return Result.MissingShards > 0 ? common::LogEvent::RequestPartial
                                  : common::LogEvent::RequestAnswered;
}

} // namespace

ForwardingHandler::ForwardingHandler(
    net::EventLoop &Loop,
    const forwarding::ForwardingDependencies &Dependencies,
    const forwarding::AdmissionPolicy &Admission,
    const CallerProtocol &Protocol, logging::EventLog &Log)
    : Loop(Loop), Dependencies(Dependencies), Admission(Admission),
      Protocol(Protocol), Log(Log) {}

ForwardingHandler::~ForwardingHandler() {
  for (const auto &[Connection, Request] : this->Active)
    Request->cancel();
}

void ForwardingHandler::beginStop(common::MonotonicTime AnswerBy) {
  this->Stopping = true;
  this->AnswerBy = AnswerBy;
  for (const auto &[Connection, Request] : this->Active)
    Request->endBy(AnswerBy);
}

std::size_t ForwardingHandler::active() const { return this->ActiveCount; }

const RequestCounters &ForwardingHandler::counters() const {
  return this->Counters;
}

void ForwardingHandler::onRequest(
    const std::shared_ptr<ServerConnection> &Connection,
    http::Request Message) {
  const RequestMetadata Metadata = this->Protocol.decode(Message);
  const std::shared_ptr<const forwarding::RoutingTable> &Table =
      this->Dependencies.Services.table();
  if (Table == nullptr) {
    this->reject(*Connection, Metadata.Id, ResultCode::NotServing, Unavailable,
                 StartupRetryDelay);
    return;
  }
  const forwarding::Route *Target = findRoute(*Table, Message);
  if (Target == nullptr) {
    this->reject(*Connection, Metadata.Id, ResultCode::NotFound, NotFound, {});
    return;
  }
  if (Metadata.Id.Value.empty()) {
    this->reject(*Connection, Metadata.Id, ResultCode::MalformedRequest,
                 BadRequest, {});
    return;
  }
  // The route was published while the body arrived.
  if (Message.IsBodyDropped) {
    this->reject(*Connection, Metadata.Id, ResultCode::NotServing, Unavailable,
                 StartupRetryDelay);
    return;
  }
  const auto Request = std::make_shared<forwarding::ForwardRequest>();
  Request->Id = Metadata.Id;
  Request->Caller = Connection->caller();
  Request->Message = std::move(Message);
  if (Metadata.TimeLeft)
    Request->WaitedBefore =
        this->Dependencies.Services.statistics(Target->Name)
            ->callers()
            .addSample(*Metadata.TimeLeft);
  Request->ArrivedAt = Connection->requestCompletedAt();
  const auto Limit =
      std::min(Target->Timeout, Metadata.TimeLeft.value_or(Target->Timeout));
  Request->Deadline =
      Request->ArrivedAt + std::max(Limit - AnswerMargin, AnswerMargin);
  Request->Table = Table;
  Request->Target = Target;
  this->execute(Connection, Request);
}

void ForwardingHandler::execute(
    const std::shared_ptr<ServerConnection> &Connection,
    const std::shared_ptr<const forwarding::ForwardRequest> &Request) {
  const forwarding::Route &Target = *Request->Target;
  const std::vector<common::ServiceName> Services = this->servicesOf(Target);
  const auto Active =
      std::make_shared<ActiveRequest>(this->Loop, *this, Connection, Request);
  this->Active.emplace(Connection.get(), Active);
  this->ActiveCount = this->Active.size();
  const auto Refused = this->Admission.check(
      *Request, Services, this->Dependencies.Services, this->Loop.now());
  if (Refused) {
    forwarding::Answer Result;
    Result.Kind = AnswerKind::Refused;
    Result.Code = Refused->Code;
    Result.Message.Status = Unavailable;
    Result.RetryAfter = Refused->RetryAfter;
    Result.Rejected = Refused;
    this->finish(*Active, Result);
    return;
  }
  if (Target.Gather)
    Active->start(std::make_unique<forwarding::GatherExecution>(
        this->Dependencies, Request, *Active));
  else
    Active->start(std::make_unique<forwarding::SingleExecution>(
        this->Dependencies, Request, Services.front(), *Active));
  if (this->Stopping)
    Active->endBy(this->AnswerBy);
}

void ForwardingHandler::onClosed(ServerConnection &Connection) {
  const auto Found = this->Active.find(&Connection);
  if (Found == this->Active.end())
    return;
  const std::shared_ptr<ActiveRequest> Request = Found->second;
  this->Active.erase(Found);
  this->ActiveCount = this->Active.size();
  this->Loop.retire(Request);
  Request->cancel();
  const forwarding::ForwardRequest &Forwarded = Request->request();
  this->Counters.noteAbandoned(Forwarded.Target->Name);
  this->Log.write(
      logging::LogRecord(common::LogEvent::RequestAbandoned)
          .text("request", Forwarded.Id.Value)
          .text("route", Forwarded.Target->Name)
          .milliseconds("waited_ms", this->Loop.now() - Forwarded.ArrivedAt));
}

void ForwardingHandler::onRequestError(ServerConnection &Connection,
                                       http::ParseProblem Problem) {
  const Rejection Reason = rejectionFor(Problem);
  this->reject(Connection, {}, Reason.Code, Reason.Status, {});
}

void ForwardingHandler::onRequestShed(ServerConnection &Connection) {
  this->reject(Connection, {}, ResultCode::Overloaded, Unavailable,
               MemoryRetryDelay);
}

bool ForwardingHandler::wantsBody(const http::Request &Head) const {
  const auto &Table = this->Dependencies.Services.table();
  return Table != nullptr && findRoute(*Table, Head) != nullptr &&
         !this->Protocol.decode(Head).Id.Value.empty();
}

std::size_t ForwardingHandler::maxHeadBytes() const {
  return this->limits().MaxHeadBytes;
}

std::size_t ForwardingHandler::maxBodyBytes() const {
  return this->limits().MaxBodyBytes;
}

std::chrono::milliseconds ForwardingHandler::headTimeout() const {
  return this->limits().HeadTimeout;
}

std::chrono::milliseconds ForwardingHandler::idleTimeout() const {
  return this->limits().IdleTimeout;
}

bool ForwardingHandler::isStopping() const { return this->Stopping; }

forwarding::CallerLimits ForwardingHandler::limits() const {
  const auto &Table = this->Dependencies.Services.table();
  return Table == nullptr ? forwarding::CallerLimits() : Table->limits();
}

const forwarding::Route *
ForwardingHandler::findRoute(const forwarding::RoutingTable &Table,
                             const http::Request &Message) {
  const std::string *Host = Message.Headers.find("Host");
  return Host == nullptr ? nullptr : Table.match(*Host, Message.Target);
}

std::vector<common::ServiceName>
ForwardingHandler::servicesOf(const forwarding::Route &Target) const {
  if (Target.Gather)
    return Target.Gather->Shards;
  return {this->Dependencies.Services.serviceRotation(Target.Name)
              .next(Target.Services)};
}

void ForwardingHandler::reject(ServerConnection &Connection,
                               const common::RequestId &Id, ResultCode Code,
                               int Status,
                               std::chrono::milliseconds RetryAfter) {
  forwarding::Answer Result;
  Result.Kind = AnswerKind::Refused;
  Result.Code = Code;
  Result.Message.Status = Status;
  if (RetryAfter.count() > 0)
    Result.RetryAfter = RetryAfter;
  this->Counters.noteUnrouted(Code);
  Connection.respond(this->Protocol.encode(Result));
  const bool IsCountedElsewhere = Code == ResultCode::RequestTooLarge ||
                                  Code == ResultCode::RequestTooSlow ||
                                  Code == ResultCode::Overloaded;
  if (IsCountedElsewhere)
    return;
  const auto &Table = this->Dependencies.Services.table();
  this->Log.write(logging::LogRecord(common::LogEvent::RequestRefused)
                      .text("request", Id.Value)
                      .number("result", static_cast<int>(Code))
                      .text("reason", common::resultCodeName(Code))
                      .number("status", Status)
                      .number("version", Table == nullptr
                                             ? 0
                                             : static_cast<std::int64_t>(
                                                   Table->version())));
}

void ForwardingHandler::finish(ActiveRequest &Request,
                               const forwarding::Answer &Result) {
  ServerConnection &Caller = Request.connection();
  const auto Found = this->Active.find(&Caller);
  this->Loop.retire(Found->second);
  this->Active.erase(Found);
  this->ActiveCount = this->Active.size();
  this->record(Request.request(), Result);
  Caller.respond(this->Protocol.encode(Result));
}

void ForwardingHandler::record(const forwarding::ForwardRequest &Request,
                               const forwarding::Answer &Result) {
  const auto Latency = this->Loop.now() - Request.ArrivedAt;
  const forwarding::Route &Target = *Request.Target;
  this->Counters.recordAnswer(Target.Name, Target.Priority, Result.Kind,
                              Result.Code, Result.MissingShards, Latency,
                              Target.LatencyTarget);
  const common::LogEvent Event = eventFor(Result);
  const bool IsOnTarget = Event == common::LogEvent::RequestAnswered &&
                          Latency <= Target.LatencyTarget;
  if (IsOnTarget && ++this->OnTargetCount % OnTargetAnswersPerLine != 0)
    return;
  logging::LogRecord Line(Event);
  Line.text("request", Request.Id.Value)
      .text("route", Target.Name)
      .number("version", static_cast<std::int64_t>(Request.Table->version()))
      .number("result", static_cast<int>(Result.Code))
      .text("reason", common::resultCodeName(Result.Code))
      .number("status", Result.Message.Status)
      .milliseconds("waited_ms", Latency)
      .milliseconds("target_ms", Target.LatencyTarget)
      .milliseconds("limit_ms", Request.Deadline - Request.ArrivedAt)
      .number("missing", static_cast<std::int64_t>(Result.MissingShards))
      .number("attempts", static_cast<std::int64_t>(Result.Attempts.size()));
  if (Request.WaitedBefore)
    Line.milliseconds("waited_before_ms", *Request.WaitedBefore);
  if (Result.RetryAfter)
    Line.milliseconds("retry_after_ms", *Result.RetryAfter);
  if (Result.Rejected && Result.Rejected->Allowed.count() > 0)
    Line.milliseconds("expected_ms", Result.Rejected->Expected)
        .milliseconds("allowed_ms", Result.Rejected->Allowed);
  if (Result.Rejected && !Result.Rejected->YieldsTo.empty())
    Line.text("yields_to", Result.Rejected->YieldsTo);
  this->Log.write(Line);
  if (IsOnTarget)
    return;
  // A hedge that lost to another attempt does not explain the outcome.
  std::set<common::ServiceName> AnsweredServices;
  for (const forwarding::AttemptSummary &Summary : Result.Attempts)
    if (Summary.End == forwarding::AttemptEnd::Answered && Summary.Status < 300)
      AnsweredServices.insert(Summary.Service);
  for (const forwarding::AttemptSummary &Summary : Result.Attempts) {
    if (Target.Gather && AnsweredServices.contains(Summary.Service))
      continue;
    this->Log.write(logging::LogRecord(common::LogEvent::AttemptEnded)
                        .text("request", Request.Id.Value)
                        .text("service", Summary.Service.Value)
                        .text("searcher", Summary.Searcher.Value)
                        .text("end", forwarding::attemptEndName(Summary.End))
                        .flag("abandoned", Summary.Abandoned)
                        .number("status", Summary.Status)
                        .milliseconds("took_ms", Summary.Duration));
  }
}

} // namespace acaciacross::gateway
