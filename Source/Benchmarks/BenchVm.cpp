#include "Benchmarks/BenchVm.h"

#include <algorithm>

namespace acaciacross::benchmarks {

namespace {

limits::AdaptiveLimitSettings
limitSettings(const std::vector<BenchClass> &Classes) {
  std::chrono::milliseconds Smallest = std::chrono::milliseconds::max();
  for (const BenchClass &Each : Classes)
    Smallest = std::min(Smallest, Each.Definition.LatencyTarget);
  return {64, Smallest / 4};
}

double coverageOf(const query::Outcome &Outcome) {
  if (std::holds_alternative<query::CompleteAnswer>(Outcome))
    return 1.0;
  const auto *Partial = std::get_if<query::PartialAnswer>(&Outcome);
  return Partial ? Partial->Coverage : 0.0;
}

} // namespace

BenchVm::BenchVm(testsupport::EventQueue &Events, std::uint64_t Number,
                 std::shared_ptr<const query::ServiceView> Service,
                 const std::vector<BenchClass> &Served, AnswerHandler Handler)
    : Events(Events), VmNumber(Number), View(std::move(Service)),
      OnAnswer(std::move(Handler)), Random(Number), Selector(this->Random),
      Runner(Events, this->Selector, common::Incarnation(Number)),
      Admission(limitSettings(Served)) {
  const auto Shards =
      static_cast<std::uint32_t>(this->View->Snapshots[0].Shards.size());
  this->Selector.updateView(*this->View);
  this->Runner.setFinishHandler(
      [this](const testsupport::QueryRun &Run) { this->onQueryFinished(Run); });
  for (const BenchClass &Each : Served) {
    const configuration::ClassDefinition &Targets = Each.Definition;
    this->Classes.emplace(Targets.Name.Value,
                          std::make_unique<ClassDecisions>(Each, Shards));
    limits::AdmissionClass Settings;
    Settings.LatencyTarget = Targets.LatencyTarget;
    Settings.TargetPercentile = Targets.TargetPercentile;
    this->Admission.configure(Targets.Name, Settings);
  }
}

testsupport::QueryRunner &BenchVm::runner() { return this->Runner; }

void BenchVm::submit(const common::ClassName &Class) {
  this->startQuery(this->makeRequest(Class));
}

void BenchVm::offer(const common::ClassName &Class) {
  const query::QueryRequest Request = this->makeRequest(Class);
  const std::uint64_t Number = this->Requests;
  const common::MonotonicTime Now = this->Events.now();
  const limits::AdmissionDecision Decision =
      this->Admission.offer({Number, Class, Now, Request.Deadline}, Now);
  if (Decision == limits::AdmissionDecision::Admitted) {
    this->startQuery(Request);
    return;
  }
  this->Waiting.emplace(Number, Request);
  if (Decision == limits::AdmissionDecision::Queued)
    this->setTimer();
  else
    this->refuse(Number);
}

query::QueryStatistics BenchVm::statistics() const {
  query::QueryStatistics Sum = this->Runner.runningStatistics();
  Sum += this->Statistics;
  return Sum;
}

std::uint32_t BenchVm::limit() const { return this->Admission.limit(); }

query::QueryRequest BenchVm::makeRequest(const common::ClassName &Class) {
  const BenchClass &Settings = this->Classes.at(Class.Value)->Settings;
  const common::MonotonicTime Now = this->Events.now();
  query::QueryRequest Request;
  Request.Id = common::RequestId("vm" + std::to_string(this->VmNumber) + "-" +
                                 std::to_string(++this->Requests));
  Request.Class = Class;
  Request.Deadline = Now + Settings.TimeLimit;
  Request.WallDeadline = this->Events.wallNow() + Settings.TimeLimit;
  Request.LatencyTarget = Now + Settings.Definition.LatencyTarget;
  Request.CoverageTarget = Settings.Definition.CoverageTarget;
  this->ArrivalOf.emplace(Request.Id.Value, Now);
  return Request;
}

void BenchVm::startQuery(const query::QueryRequest &Request) {
  ClassDecisions &Decisions = *this->Classes.at(Request.Class.Value);
  this->Runner.submit(Request, this->View, Decisions.Hedging, Decisions.Budget);
}

void BenchVm::onQueryFinished(const testsupport::QueryRun &Run) {
  const query::QueryRequest &Request = Run.Execution.request();
  const common::MonotonicTime Now = this->Events.now();
  const query::QueryStatistics &Work = Run.Execution.statistics();
  this->Statistics += Work;
  const auto Arrived = this->ArrivalOf.extract(Request.Id.Value);
  const query::Outcome &Outcome = Run.Execution.outcome();
  this->OnAnswer({Request.Id, Request.Class, Arrived.mapped(),
                  Now - Arrived.mapped(), coverageOf(Outcome),
                  std::holds_alternative<query::Refusal>(Outcome)});
  this->Admission.onFinished(Request.Class, Now, Now - Run.StartedAt,
                             Work.shedPart());
  // Not from within the finished query's own call.
  this->Events.after(std::chrono::nanoseconds(0),
                     [this] { this->serveQueue(); });
}

void BenchVm::refuse(std::uint64_t Number) {
  const query::QueryRequest Request = this->Waiting.extract(Number).mapped();
  const auto Arrived = this->ArrivalOf.extract(Request.Id.Value);
  this->OnAnswer({Request.Id, Request.Class, Arrived.mapped(),
                  this->Events.now() - Arrived.mapped(), 0.0, true});
}

void BenchVm::serveQueue() {
  const common::MonotonicTime Now = this->Events.now();
  for (const limits::ExpiredEntry &Each : this->Admission.takeExpired(Now))
    this->refuse(Each.Entry.Number);
  for (const limits::AdmissionEntry &Each : this->Admission.takeReady(Now))
    this->startQuery(this->Waiting.extract(Each.Number).mapped());
}

void BenchVm::setTimer() {
  const auto Expiry = this->Admission.nextExpiry();
  if (Expiry)
    this->Events.at(*Expiry, [this] { this->serveQueue(); });
}

} // namespace acaciacross::benchmarks
