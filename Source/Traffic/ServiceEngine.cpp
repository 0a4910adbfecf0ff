#include "Traffic/ServiceEngine.h"

#include "Common/Log.h"
#include "Traffic/AdmissionBounds.h"

#include <algorithm>
#include <chrono>

namespace acaciacross::traffic {

namespace {

limits::AdmissionClass
admissionClassOf(const configuration::ClassDefinition &Definition) {
  limits::AdmissionClass Settings;
  Settings.LatencyTarget = Definition.LatencyTarget;
  Settings.TargetPercentile = Definition.TargetPercentile;
  return Settings;
}

TrafficReply makeReply(query::Outcome Outcome) {
  return {std::make_shared<const query::Outcome>(std::move(Outcome)), {}};
}

} // namespace

ServiceEngine::ServiceEngine(EngineSettings Settings,
                             query::AttemptSender &Sender,
                             const common::Clock &Time)
    : Settings(std::move(Settings)), TimeSource(Time),
      Random(this->Settings.RandomSeed), Attempts(Sender, Time),
      Selector(this->Random),
      Ids(this->Settings.Identity.Issuer, this->Settings.FirstSequence),
      Tickets(this->Settings), Admission(this->Settings.Admission),
      Classes(this->Settings.Service) {}

void ServiceEngine::updateView(const control::ControlView &View) {
  const auto Found = View.Services.find(this->Settings.Service);
  this->Service = Found == View.Services.end() ? nullptr : Found->second;
  this->Classes.update(View);
  this->Admission.setBounds(
      admissionBounds(this->Settings.Service, View, this->Settings.Admission));
  for (const ClassState *Class : this->Classes.current())
    this->Admission.configure(Class->Definition.Name,
                              admissionClassOf(Class->Definition));
  if (this->Classes.unusedCount() > ClassTable::MaxUnused)
    this->dropUnusedClasses();
  if (!this->Service)
    return;
  this->Selector.updateView(*this->Service);
  for (auto &[Number, Query] : this->Queries)
    if (Query.Execution)
      Query.Execution->onViewChanged(this->Service);
}

void ServiceEngine::dropUnusedClasses() {
  std::set<const ClassState *> InUse;
  for (const auto &[Number, Query] : this->Queries)
    InUse.insert(Query.Class);
  for (const common::ClassName &Name : this->Classes.dropUnused(InUse))
    this->Admission.remove(Name);
}

void ServiceEngine::accept(TrafficRequest Request,
                           std::shared_ptr<ReplySink> Sink) {
  const common::MonotonicTime Now = this->TimeSource.monotonicNow();
  // A ticket that was used before is answered from the table, before any other
  // check of the request.
  if (Request.Ticket) {
    if (auto Reply = this->Tickets.claim(*Request.Ticket, Now)) {
      Sink->onReply(std::move(*Reply));
      return;
    }
  }
  if (const auto Code = this->findRefusal(Request)) {
    this->refuse(Request, *Sink, *Code);
    return;
  }
  const std::uint64_t Number = this->NextQuery++;
  const limits::AdmissionEntry Entry{Number, Request.Class, Request.ReceivedAt,
                                     Request.Deadline};
  RunningQuery &Query = this->Queries[Number];
  Query.Class = this->Classes.find(Request.Class);
  Query.Request = std::move(Request);
  Query.Sink = std::move(Sink);
  this->offer(Entry, Now);
  this->admitWaiting();
}

void ServiceEngine::offer(const limits::AdmissionEntry &Entry,
                          common::MonotonicTime Now) {
  switch (this->Admission.offer(Entry, Now)) {
  case limits::AdmissionDecision::Admitted:
    this->run(Entry.Number);
    break;
  case limits::AdmissionDecision::Queued:
    break;
  case limits::AdmissionDecision::RefusedOverloaded:
    this->refuseWaiting(Entry.Number, common::ResultCode::Overloaded);
    break;
  case limits::AdmissionDecision::RefusedDeadline:
    this->refuseWaiting(Entry.Number, common::ResultCode::DeadlineTooShort);
    break;
  }
}

std::optional<common::ResultCode>
ServiceEngine::findRefusal(const TrafficRequest &Request) {
  const ClassState *Class = this->Classes.find(Request.Class);
  if (!Class)
    return common::ResultCode::UnknownClass;
  if (!this->Service)
    return common::ResultCode::UnknownService;
  if (Request.Ticket && Request.Ticket->Class != Request.Class)
    return common::ResultCode::TicketMalformed;
  if (!Request.Ticket && !Class->Definition.Repeatable)
    return common::ResultCode::TicketRequired;
  return std::nullopt;
}

void ServiceEngine::refuse(const TrafficRequest &Request, ReplySink &Sink,
                           common::ResultCode Code) {
  TrafficReply Reply = makeReply(query::Refusal{Code});
  if (Request.Ticket)
    this->Tickets.finish(*Request.Ticket, Reply.Result);
  if (ClassState *Class = this->Classes.find(Request.Class)) {
    const common::MonotonicTime Now = this->TimeSource.monotonicNow();
    Class->Metrics.record(*Reply.Result, Now - Request.ReceivedAt, {}, Now);
  }
  Sink.onReply(std::move(Reply));
}

query::QueryRequest ServiceEngine::makeQuery(const TrafficRequest &Request,
                                             const ClassState &Class) const {
  query::QueryRequest Query;
  Query.Id = Request.Id;
  Query.Class = Request.Class;
  Query.Body = Request.Body;
  Query.Deadline = Request.Deadline;
  Query.WallDeadline = this->TimeSource.wallNow() +
                       std::chrono::duration_cast<common::WallTime::duration>(
                           Request.Deadline - this->TimeSource.monotonicNow());
  Query.LatencyTarget = Request.ReceivedAt + Class.Definition.LatencyTarget;
  Query.CoverageTarget = Class.Definition.CoverageTarget;
  // A ticket guarantees at most one execution, also if the class becomes
  // repeatable after the ticket was issued.
  Query.Repeatable = Class.Definition.Repeatable && !Request.Ticket;
  return Query;
}

void ServiceEngine::refuseWaiting(std::uint64_t Number,
                                  common::ResultCode Code) {
  const auto Found = this->Queries.find(Number);
  this->refuse(Found->second.Request, *Found->second.Sink, Code);
  this->Queries.erase(Found);
}

void ServiceEngine::admitWaiting() {
  const common::MonotonicTime Now = this->TimeSource.monotonicNow();
  for (const limits::ExpiredEntry &Expired : this->Admission.takeExpired(Now))
    this->refuseWaiting(Expired.Entry.Number, Expired.Code);
  // A query may finish within run, so that another one can be admitted.
  auto Ready = this->Admission.takeReady(Now);
  while (!Ready.empty()) {
    for (const limits::AdmissionEntry &Entry : Ready)
      this->run(Entry.Number);
    Ready = this->Admission.takeReady(Now);
  }
}

void ServiceEngine::run(std::uint64_t Number) {
  RunningQuery &Query = this->Queries.at(Number);
  const query::QueryDependencies Dependencies{this->Attempts, this->Selector,
                                              Query.Class->Hedging,
                                              Query.Class->Budget, this->Ids};
  // The service may have been removed from the configuration while the query
  // waited.
  const auto View =
      this->Service ? this->Service : std::make_shared<query::ServiceView>();
  Query.Execution = std::make_unique<query::QueryExecution>(
      this->makeQuery(Query.Request, *Query.Class), View, Dependencies);
  Query.AdmittedAt = this->TimeSource.monotonicNow();
  ++Query.Class->Running;
  this->Attempts.setQuery(Number);
  Query.Execution->start(Query.AdmittedAt);
  this->completeOrReschedule(Number);
}

void ServiceEngine::completeOrReschedule(std::uint64_t Number) {
  const auto Found = this->Queries.find(Number);
  RunningQuery &Query = Found->second;
  this->Timers.erase({Query.TimerAt, Number});
  if (!Query.Execution->isFinished()) {
    Query.TimerAt = Query.Execution->nextTimer();
    this->Timers.emplace(Query.TimerAt, Number);
    return;
  }
  const common::MonotonicTime Now = this->TimeSource.monotonicNow();
  const auto Result =
      std::make_shared<const query::Outcome>(Query.Execution->outcome());
  Query.Class->Metrics.record(*Result, Now - Query.Request.ReceivedAt,
                              Query.Execution->statistics(), Now);
  --Query.Class->Running;
  this->Admission.onFinished(Query.Request.Class, Now, Now - Query.AdmittedAt,
                             Query.Execution->statistics().shedShare());
  if (Query.Request.Ticket)
    this->Tickets.finish(*Query.Request.Ticket, Result);
  Query.Sink->onReply({Result, {}});
  this->Queries.erase(Found);
}

void ServiceEngine::onReservedConnections(common::SearcherIndex Searcher,
                                          std::uint32_t Count) {
  this->Selector.setReservedConnections(Searcher, Count);
}

void ServiceEngine::onAttemptsEnded(const std::vector<EndedAttempt> &Batch) {
  for (const EndedAttempt &Ended : Batch) {
    const auto Number = this->Attempts.end(Ended);
    if (!Number)
      continue;
    this->Attempts.setQuery(*Number);
    RunningQuery &Query = this->Queries.at(*Number);
    Query.Execution->onAttemptEnded(Ended.Result,
                                    this->TimeSource.monotonicNow());
    this->completeOrReschedule(*Number);
  }
  this->admitWaiting();
}

void ServiceEngine::onTimers() {
  const common::MonotonicTime Now = this->TimeSource.monotonicNow();
  std::vector<std::uint64_t> Due;
  for (const auto &[At, Number] : this->Timers) {
    if (At > Now)
      break;
    Due.push_back(Number);
  }
  for (const std::uint64_t Number : Due) {
    this->Attempts.setQuery(Number);
    this->Queries.at(Number).Execution->onTimer(Now);
    this->completeOrReschedule(Number);
  }
  this->admitWaiting();
}

std::optional<common::MonotonicTime> ServiceEngine::nextTimer() const {
  std::optional<common::MonotonicTime> Next = this->Admission.nextExpiry();
  if (!this->Timers.empty())
    Next = std::min(Next.value_or(this->Timers.begin()->first),
                    this->Timers.begin()->first);
  return Next;
}

TicketReply ServiceEngine::issueTicket(const common::ClassName &Class) {
  if (!this->Classes.find(Class))
    return {common::ResultCode::UnknownClass, {}, {}};
  return this->Tickets.issue(Class, this->TimeSource.monotonicNow());
}

void ServiceEngine::abortAll() {
  while (!this->Queries.empty()) {
    const auto &[Number, Query] = *this->Queries.begin();
    if (!Query.Execution) {
      this->refuseWaiting(Number, common::ResultCode::NotServing);
      continue;
    }
    Query.Execution->abort(common::ResultCode::Interrupted);
    this->completeOrReschedule(Number);
  }
}

std::size_t ServiceEngine::openQueryCount() const {
  return this->Queries.size();
}

std::size_t ServiceEngine::classCount() const {
  return this->Admission.classCount();
}

std::vector<control::UpstreamEvidence> ServiceEngine::takeEvidence() {
  return this->Attempts.takeEvidence();
}

std::vector<metrics::ClassReport> ServiceEngine::reports() const {
  std::vector<metrics::ClassReport> Reports = this->Classes.reports();
  for (metrics::ClassReport &Report : Reports)
    Report.QueuedServiceRequests = this->Admission.queued();
  return Reports;
}

} // namespace acaciacross::traffic
