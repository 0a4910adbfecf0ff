#include "Traffic/ServiceEngine.h"

#include "Common/Log.h"

#include <algorithm>
#include <chrono>

namespace acaciacross::traffic {

namespace {

// A restart takes one attempt per shard from the budget.
constexpr std::uint32_t RestartsInBudget = 2;
constexpr std::uint32_t SmallestMaxBudget = 10;

std::uint32_t maxBudgetFor(const query::ServiceView *Service) {
  std::size_t Shards = 0;
  if (Service)
    for (const query::SnapshotView &Snapshot : Service->Snapshots)
      Shards = std::max(Shards, Snapshot.Shards.size());
  return std::max(SmallestMaxBudget,
                  static_cast<std::uint32_t>(Shards) * RestartsInBudget);
}

TrafficReply makeReply(query::Outcome Outcome) {
  return {std::make_shared<const query::Outcome>(std::move(Outcome)), {}};
}

} // namespace

ServiceEngine::ServiceEngine(EngineSettings Chosen, query::AttemptPort &Sender,
                             const common::Clock &Time)
    : Settings(std::move(Chosen)), Ticker(Time),
      Random(this->Settings.RandomSeed), Attempts(Sender, Time),
      Selector(this->Random),
      Ids(this->Settings.Identity.Issuer, this->Settings.FirstSequence),
      Issuer(this->Settings.Identity, this->Settings.FirstSequence,
             this->Settings.TicketValidity),
      Table(this->Issuer, this->Settings.TicketLimits) {}

void ServiceEngine::updateView(const control::ControlView &View) {
  const auto Found = View.Services.find(this->Settings.Service);
  this->Service = Found == View.Services.end() ? nullptr : Found->second;
  this->updateClasses(View);
  if (!this->Service)
    return;
  this->Selector.updateView(*this->Service);
  for (auto &[Number, Query] : this->Queries)
    Query.Execution->onViewChanged(this->Service);
}

void ServiceEngine::updateClasses(const control::ControlView &View) {
  for (auto &[Name, Class] : this->Classes)
    Class->IsCurrent = false;
  const std::uint32_t MaxBudget = maxBudgetFor(this->Service.get());
  for (const auto &[Name, Definition] : View.Classes) {
    if (Definition.Service != this->Settings.Service)
      continue;
    std::unique_ptr<ClassState> &Class = this->Classes[Name];
    if (Class)
      Class->reconfigure(Definition, MaxBudget);
    else
      Class = std::make_unique<ClassState>(Definition, MaxBudget);
  }
}

ClassState *ServiceEngine::findClass(const common::ClassName &Name) {
  const auto Found = this->Classes.find(Name);
  const bool IsCurrent =
      Found != this->Classes.end() && Found->second->IsCurrent;
  return IsCurrent ? Found->second.get() : nullptr;
}

void ServiceEngine::accept(TrafficRequest Request,
                           std::shared_ptr<ReplySink> Sink) {
  // A ticket that was used before is answered from the table, whatever else is
  // wrong with the request now.
  if (Request.Ticket && !this->presentTicket(Request, *Sink))
    return;
  if (const auto Code = this->refusalOf(Request)) {
    this->refuse(Request, *Sink, *Code);
    return;
  }
  ClassState &Class = *this->findClass(Request.Class);
  this->run(std::move(Request), std::move(Sink), Class);
}

bool ServiceEngine::presentTicket(const TrafficRequest &Request,
                                  ReplySink &Sink) {
  const auto Lookup =
      this->Table.present(*Request.Ticket, this->Ticker.monotonicNow());
  switch (Lookup.State) {
  case tickets::TicketState::Accepted:
    return true;
  case tickets::TicketState::Finished:
    Sink.onReply({Lookup.Stored, {}});
    return false;
  case tickets::TicketState::Executing:
    Sink.onReply(
        makeReply(query::Failure{common::ResultCode::TicketInProgress}));
    return false;
  case tickets::TicketState::Expired:
    Sink.onReply(makeReply(query::Failure{common::ResultCode::TicketExpired}));
    return false;
  case tickets::TicketState::OwnedElsewhere: {
    TrafficReply Reply =
        makeReply(query::Failure{common::ResultCode::TicketOwnedElsewhere});
    Reply.TicketOwner = Request.Ticket->Owner;
    Sink.onReply(std::move(Reply));
    return false;
  }
  case tickets::TicketState::TableFull:
    Sink.onReply(
        makeReply(query::Refusal{common::ResultCode::TicketTableFull}));
    return false;
  case tickets::TicketState::Altered:
    break;
  }
  Sink.onReply(makeReply(query::Refusal{common::ResultCode::TicketMalformed}));
  return false;
}

std::optional<common::ResultCode>
ServiceEngine::refusalOf(const TrafficRequest &Request) {
  const ClassState *Class = this->findClass(Request.Class);
  if (!Class)
    return common::ResultCode::UnknownClass;
  if (!this->Service)
    return common::ResultCode::UnknownService;
  if (Request.Ticket && Request.Ticket->Class != Request.Class)
    return common::ResultCode::TicketMalformed;
  if (!Request.Ticket && !Class->Definition.Repeatable)
    return common::ResultCode::TicketRequired;
  if (this->Queries.size() >= this->Settings.MaxRunning)
    return common::ResultCode::Overloaded;
  return std::nullopt;
}

void ServiceEngine::refuse(const TrafficRequest &Request, ReplySink &Sink,
                           common::ResultCode Code) {
  TrafficReply Reply = makeReply(query::Refusal{Code});
  if (Request.Ticket)
    this->Table.finish(*Request.Ticket, Reply.Result);
  if (ClassState *Class = this->findClass(Request.Class)) {
    const common::MonotonicTime Now = this->Ticker.monotonicNow();
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
  Query.WallDeadline = this->Ticker.wallNow() +
                       std::chrono::duration_cast<common::WallTime::duration>(
                           Request.Deadline - this->Ticker.monotonicNow());
  Query.LatencyTarget = Request.ReceivedAt + Class.Definition.LatencyTarget;
  Query.CoverageTarget = Class.Definition.CoverageTarget;
  // A ticket stays a promise of one execution when the class becomes
  // repeatable after its issue.
  Query.Repeatable = Class.Definition.Repeatable && !Request.Ticket;
  return Query;
}

void ServiceEngine::run(TrafficRequest Request, std::shared_ptr<ReplySink> Sink,
                        ClassState &Class) {
  const std::uint64_t Number = this->NextQuery++;
  const query::QueryDependencies Used{this->Attempts, this->Selector,
                                      Class.Hedging, Class.Budget, this->Ids};
  RunningQuery &Query = this->Queries[Number];
  Query.Execution = std::make_unique<query::QueryExecution>(
      this->makeQuery(Request, Class), this->Service, Used);
  Query.Request = std::move(Request);
  Query.Sink = std::move(Sink);
  Query.Class = &Class;
  ++Class.Running;
  this->Attempts.setQuery(Number);
  Query.Execution->start(this->Ticker.monotonicNow());
  this->settle(Number);
}

void ServiceEngine::settle(std::uint64_t Number) {
  const auto Found = this->Queries.find(Number);
  RunningQuery &Query = Found->second;
  this->Timers.erase({Query.TimerAt, Number});
  if (!Query.Execution->isFinished()) {
    Query.TimerAt = Query.Execution->nextTimer();
    this->Timers.emplace(Query.TimerAt, Number);
    return;
  }
  const common::MonotonicTime Now = this->Ticker.monotonicNow();
  const auto Result =
      std::make_shared<const query::Outcome>(Query.Execution->outcome());
  Query.Class->Metrics.record(*Result, Now - Query.Request.ReceivedAt,
                              Query.Execution->statistics(), Now);
  --Query.Class->Running;
  if (Query.Request.Ticket)
    this->Table.finish(*Query.Request.Ticket, Result);
  Query.Sink->onReply({Result, {}});
  this->Queries.erase(Found);
}

void ServiceEngine::onAttemptsEnded(const std::vector<EndedAttempt> &Batch) {
  for (const EndedAttempt &Ended : Batch) {
    const auto Number = this->Attempts.end(Ended);
    if (!Number)
      continue;
    this->Attempts.setQuery(*Number);
    this->Queries.at(*Number).Execution->onAttemptEnded(
        Ended.Result, this->Ticker.monotonicNow());
    this->settle(*Number);
  }
}

void ServiceEngine::onTimers() {
  const common::MonotonicTime Now = this->Ticker.monotonicNow();
  std::vector<std::uint64_t> Due;
  for (const auto &[At, Number] : this->Timers) {
    if (At > Now)
      break;
    Due.push_back(Number);
  }
  for (const std::uint64_t Number : Due) {
    this->Attempts.setQuery(Number);
    this->Queries.at(Number).Execution->onTimer(Now);
    this->settle(Number);
  }
}

std::optional<common::MonotonicTime> ServiceEngine::nextTimer() const {
  if (this->Timers.empty())
    return std::nullopt;
  return this->Timers.begin()->first;
}

TicketReply ServiceEngine::issueTicket(const common::ClassName &Class) {
  if (!this->findClass(Class))
    return {common::ResultCode::UnknownClass, {}, {}};
  const common::MonotonicTime Now = this->Ticker.monotonicNow();
  this->Table.discardOld(Now);
  if (this->Table.isFull())
    return {common::ResultCode::TicketTableFull, {}, {}};
  return {common::ResultCode::Ok, this->Issuer.issue(Class, Now),
          this->Issuer.validity()};
}

void ServiceEngine::abortAll() {
  while (!this->Queries.empty()) {
    const std::uint64_t Number = this->Queries.begin()->first;
    this->Queries.begin()->second.Execution->abort(
        common::ResultCode::Interrupted);
    this->settle(Number);
  }
}

std::size_t ServiceEngine::runningCount() const { return this->Queries.size(); }

std::vector<control::UpstreamEvidence> ServiceEngine::takeEvidence() {
  return this->Attempts.takeEvidence();
}

std::vector<metrics::ClassReport> ServiceEngine::reports() const {
  std::vector<metrics::ClassReport> Reports;
  for (const auto &[Name, Class] : this->Classes) {
    if (!Class->IsCurrent)
      continue;
    metrics::ClassReport Report = Class->Metrics.report();
    Report.Service = this->Settings.Service;
    Report.BudgetLeft = Class->Budget.balance();
    Report.Running = Class->Running;
    Reports.push_back(std::move(Report));
  }
  return Reports;
}

} // namespace acaciacross::traffic
