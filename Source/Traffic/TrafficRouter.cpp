#include "Traffic/TrafficRouter.h"

#include "Traffic/ReportCollector.h"

#include <utility>

namespace acaciacross::traffic {

namespace {

// Each thread has 2^48 sequence numbers for attempts and for tickets.
constexpr unsigned WorkerIndexShift = 48;

TrafficReply makeReply(query::Outcome Outcome) {
  return {std::make_shared<const query::Outcome>(std::move(Outcome)), {}};
}

} // namespace

TrafficRouter::TrafficRouter(RouterSettings Settings, const common::Clock &Time,
                             control::EvidenceSink &Evidence)
    : Settings(std::move(Settings)), TimeSource(Time), Evidence(Evidence),
      Random(this->Settings.RandomSeed),
      CurrentView(std::make_shared<const control::ControlView>()) {}

TrafficRouter::~TrafficRouter() {
  this->stop(std::chrono::milliseconds::zero());
}

void TrafficRouter::onView(std::shared_ptr<const control::ControlView> View) {
  const std::lock_guard Guard(this->Mutex);
  if (this->IsStopped)
    return;
  for (const auto &[Name, Service] : View->Services) {
    std::shared_ptr<TrafficWorker> &Worker = this->Workers[Name];
    if (!Worker)
      Worker = this->startWorker(Name);
  }
  for (const auto &[Name, Worker] : this->Workers)
    Worker->updateView(View);
  this->CurrentView = std::move(View);
}

std::shared_ptr<TrafficWorker>
TrafficRouter::startWorker(const common::ServiceName &Name) {
  EngineSettings WorkerSettings;
  WorkerSettings.Service = Name;
  WorkerSettings.Identity = this->Settings.Identity;
  WorkerSettings.FirstSequence =
      static_cast<std::uint64_t>(this->WorkersByIndex.size())
      << WorkerIndexShift;
  WorkerSettings.RandomSeed = this->Random.next();
  this->WorkersByIndex.push_back(std::make_shared<TrafficWorker>(
      std::move(WorkerSettings), this->TimeSource, this->Evidence));
  return this->WorkersByIndex.back();
}

// The task is posted with the mutex locked, so that none is posted after stop.
void TrafficRouter::submit(TrafficRequest Request,
                           std::shared_ptr<ReplySink> Sink) {
  const bool IsIssuedElsewhere =
      Request.Ticket &&
      Request.Ticket->Issuer != this->Settings.Identity.Issuer;
  if (IsIssuedElsewhere) {
    TrafficReply Reply =
        makeReply(query::Failure{common::ResultCode::TicketOwnedElsewhere});
    Reply.TicketOwner = Request.Ticket->Owner;
    Sink->onReply(std::move(Reply));
    return;
  }
  common::ResultCode Refusal = common::ResultCode::NotServing;
  {
    const std::lock_guard Guard(this->Mutex);
    const std::shared_ptr<TrafficWorker> Worker =
        Request.Ticket ? this->workerForTicket(*Request.Ticket, Refusal)
                       : this->workerForClass(Request.Class, Refusal);
    if (Worker) {
      Worker->post(
          [Moved = std::move(Request), Sink](ServiceEngine &Engine) mutable {
            Engine.accept(std::move(Moved), std::move(Sink));
          });
      return;
    }
  }
  Sink->onReply(makeReply(query::Refusal{Refusal}));
}

std::shared_ptr<TrafficWorker>
TrafficRouter::workerForClass(const common::ClassName &Class,
                              common::ResultCode &Refusal) {
  Refusal = common::ResultCode::NotServing;
  if (this->IsStopped ||
      this->CurrentView->State == membership::ServingState::Joining)
    return nullptr;
  const auto Definition = this->CurrentView->Classes.find(Class);
  if (Definition == this->CurrentView->Classes.end()) {
    Refusal = common::ResultCode::UnknownClass;
    return nullptr;
  }
  const common::ServiceName &Service = Definition->second.Service;
  if (!this->CurrentView->Services.contains(Service)) {
    Refusal = common::ResultCode::UnknownService;
    return nullptr;
  }
  return this->Workers.at(Service);
}

// A ticket is passed to the thread that issued it, also if its class has since
// moved to another service: only that thread knows whether it was used.
std::shared_ptr<TrafficWorker>
TrafficRouter::workerForTicket(const tickets::Ticket &Presented,
                               common::ResultCode &Refusal) {
  Refusal = common::ResultCode::NotServing;
  if (this->IsStopped)
    return nullptr;
  const std::uint64_t Index = Presented.Sequence >> WorkerIndexShift;
  if (Index < this->WorkersByIndex.size())
    return this->WorkersByIndex[Index];
  Refusal = common::ResultCode::TicketMalformed;
  return nullptr;
}

void TrafficRouter::requestTicket(const common::ClassName &Class,
                                  std::shared_ptr<TicketSink> Sink) {
  common::ResultCode Refusal = common::ResultCode::NotServing;
  {
    const std::lock_guard Guard(this->Mutex);
    if (const auto Worker = this->workerForClass(Class, Refusal)) {
      Worker->post([Class, Sink](ServiceEngine &Engine) {
        Sink->onTicket(Engine.issueTicket(Class));
      });
      return;
    }
  }
  Sink->onTicket({Refusal, {}, {}});
}

void TrafficRouter::requestReports(std::shared_ptr<ReportSink> Sink) {
  {
    const std::lock_guard Guard(this->Mutex);
    if (!this->IsStopped && !this->WorkersByIndex.empty()) {
      const auto Collector =
          std::make_shared<ReportCollector>(this->WorkersByIndex.size(), Sink);
      for (const auto &Worker : this->WorkersByIndex)
        Worker->post([Collector](ServiceEngine &Engine) {
          Collector->add(Engine.reports());
        });
      return;
    }
  }
  Sink->onReports({});
}

std::shared_ptr<const control::ControlView> TrafficRouter::view() const {
  const std::lock_guard Guard(this->Mutex);
  return this->CurrentView;
}

void TrafficRouter::stop(std::chrono::milliseconds Grace) {
  std::vector<std::shared_ptr<TrafficWorker>> Stopping;
  {
    const std::lock_guard Guard(this->Mutex);
    this->IsStopped = true;
    Stopping = this->WorkersByIndex;
  }
  for (const auto &Worker : Stopping)
    Worker->beginStop(Grace);
  for (const auto &Worker : Stopping)
    Worker->join();
}

} // namespace acaciacross::traffic
