#include "Benchmarks/BenchVm.h"

#include <algorithm>

namespace acaciacross::benchmarks {

namespace {

limits::AdaptiveLimitSettings
limitSettings(const std::vector<BenchClass> &Classes) {
  std::chrono::milliseconds SmallestTarget = std::chrono::milliseconds::max();
  for (const BenchClass &Class : Classes)
    SmallestTarget = std::min(SmallestTarget, Class.Definition.LatencyTarget);
  return {64, SmallestTarget / 4};
}

double coverageOf(const query::Outcome &Outcome) {
  if (std::holds_alternative<query::CompleteAnswer>(Outcome))
    return 1.0;
  const auto *Partial = std::get_if<query::PartialAnswer>(&Outcome);
  return Partial ? Partial->Coverage : 0.0;
}

} // namespace

BenchVm::BenchVm(testsupport::EventQueue &Events, std::uint64_t Number,
                 std::shared_ptr<const query::ServiceView> InitialView,
                 const std::vector<BenchClass> &ServedClasses,
                 AnswerHandler Handler)
    : Events(Events), VmNumber(Number), View(std::move(InitialView)),
      OnAnswer(std::move(Handler)), Random(Number), Selector(this->Random),
      Runner(Events, this->Selector, common::Incarnation(Number)),
      Admission(limitSettings(ServedClasses)) {
  const auto Shards =
      static_cast<std::uint32_t>(this->View->Snapshots[0].Shards.size());
  this->Selector.updateView(*this->View);
  this->Runner.setFinishHandler(
      [this](const testsupport::QueryRun &Run) { this->onQueryFinished(Run); });
  for (const BenchClass &Class : ServedClasses) {
    const configuration::ClassDefinition &Definition = Class.Definition;
    this->Classes.emplace(Definition.Name.Value,
                          std::make_unique<ClassPolicies>(Class, Shards));
    limits::AdmissionClass Settings;
    Settings.LatencyTarget = Definition.LatencyTarget;
    Settings.TargetPercentile = Definition.TargetPercentile;
    this->Admission.configure(Definition.Name, Settings);
  }
}

testsupport::QueryRunner &BenchVm::runner() { return this->Runner; }

void BenchVm::submit(const common::ClassName &Class) {
  this->startQuery(this->makeRequest(Class));
}

void BenchVm::offer(const common::ClassName &Class) {
  const query::QueryRequest Request = this->makeRequest(Class);
  const std::uint64_t Number = this->RequestCount;
  const common::MonotonicTime Now = this->Events.now();
  const limits::AdmissionDecision Decision =
      this->Admission.offer({Number, Class, Now, Request.Deadline}, Now);
  if (Decision == limits::AdmissionDecision::Admitted) {
    this->startQuery(Request);
    return;
  }
  this->QueuedRequests.emplace(Number, Request);
  if (Decision == limits::AdmissionDecision::Queued)
    this->scheduleExpiry();
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
                                 std::to_string(++this->RequestCount));
  Request.Class = Class;
  Request.Deadline = Now + Settings.TimeLimit;
  Request.WallDeadline = this->Events.wallNow() + Settings.TimeLimit;
  Request.LatencyTarget = Now + Settings.Definition.LatencyTarget;
  Request.CoverageTarget = Settings.Definition.CoverageTarget;
  this->ArrivalTimes.emplace(Request.Id.Value, Now);
  return Request;
}

void BenchVm::startQuery(const query::QueryRequest &Request) {
  ClassPolicies &Policies = *this->Classes.at(Request.Class.Value);
  this->Runner.submit(Request, this->View, Policies.Hedging, Policies.Budget);
}

void BenchVm::onQueryFinished(const testsupport::QueryRun &Run) {
  const query::QueryRequest &Request = Run.Execution.request();
  const common::MonotonicTime Now = this->Events.now();
  const query::QueryStatistics &Work = Run.Execution.statistics();
  this->Statistics += Work;
  const auto Arrival = this->ArrivalTimes.extract(Request.Id.Value);
  const query::Outcome &Outcome = Run.Execution.outcome();
  this->OnAnswer({Request.Id, Request.Class, Arrival.mapped(),
                  Now - Arrival.mapped(), coverageOf(Outcome),
                  std::holds_alternative<query::Refusal>(Outcome)});
  this->Admission.onFinished(Request.Class, Now, Now - Run.StartedAt,
                             Work.shedShare());
  // Deferred, because this runs within a call of the finished query.
  this->Events.after(std::chrono::nanoseconds(0),
                     [this] { this->serveQueue(); });
}

void BenchVm::refuse(std::uint64_t Number) {
  const query::QueryRequest Request =
      this->QueuedRequests.extract(Number).mapped();
  const auto Arrival = this->ArrivalTimes.extract(Request.Id.Value);
  this->OnAnswer({Request.Id, Request.Class, Arrival.mapped(),
                  this->Events.now() - Arrival.mapped(), 0.0, true});
}

void BenchVm::serveQueue() {
  const common::MonotonicTime Now = this->Events.now();
  for (const limits::ExpiredEntry &Expired : this->Admission.takeExpired(Now))
    this->refuse(Expired.Entry.Number);
  for (const limits::AdmissionEntry &Ready : this->Admission.takeReady(Now))
    this->startQuery(this->QueuedRequests.extract(Ready.Number).mapped());
}

void BenchVm::scheduleExpiry() {
  const auto Expiry = this->Admission.nextExpiry();
  if (Expiry)
    this->Events.at(*Expiry, [this] { this->serveQueue(); });
}

} // namespace acaciacross::benchmarks
