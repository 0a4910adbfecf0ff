#include "Traffic/TrafficRouter.h"

#include "Traffic/ReportCollector.h"

#include <utility>

namespace acaciacross::traffic {

namespace {

// Each thread has 2^48 numbers for attempts and for tickets.
constexpr unsigned WorkerNumberShift = 48;

TrafficReply makeReply(query::Outcome Outcome) {
  return {std::make_shared<const query::Outcome>(std::move(Outcome)), {}};
}

} // namespace

TrafficRouter::TrafficRouter(RouterSettings Chosen, const common::Clock &Time,
                             control::EvidenceSink &Evidence)
    : Settings(std::move(Chosen)), Ticker(Time), Evidence(Evidence),
      Random(this->Settings.RandomSeed),
      Newest(std::make_shared<const control::ControlView>()) {}

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
  this->Newest = std::move(View);
}

std::shared_ptr<TrafficWorker>
TrafficRouter::startWorker(const common::ServiceName &Name) {
  EngineSettings Chosen;
  Chosen.Service = Name;
  Chosen.Identity = this->Settings.Identity;
  Chosen.FirstSequence = static_cast<std::uint64_t>(this->ByNumber.size())
                         << WorkerNumberShift;
  Chosen.RandomSeed = this->Random.next();
  this->ByNumber.push_back(std::make_shared<TrafficWorker>(
      std::move(Chosen), this->Ticker, this->Evidence));
  return this->ByNumber.back();
}

// The post happens under the lock, so that none comes after stop.
void TrafficRouter::submit(TrafficRequest Request,
                           std::shared_ptr<ReplySink> Sink) {
  const bool IsForeign = Request.Ticket && Request.Ticket->Issuer !=
                                               this->Settings.Identity.Issuer;
  if (IsForeign) {
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
      this->Newest->State == membership::ServingState::Joining)
    return nullptr;
  const auto Definition = this->Newest->Classes.find(Class);
  if (Definition == this->Newest->Classes.end()) {
    Refusal = common::ResultCode::UnknownClass;
    return nullptr;
  }
  const common::ServiceName &Service = Definition->second.Service;
  if (!this->Newest->Services.contains(Service)) {
    Refusal = common::ResultCode::UnknownService;
    return nullptr;
  }
  return this->Workers.at(Service);
}

// A ticket goes to the thread that issued it, also when its class has moved to
// another service since: only that thread knows whether it was used.
std::shared_ptr<TrafficWorker>
TrafficRouter::workerForTicket(const tickets::Ticket &Presented,
                               common::ResultCode &Refusal) {
  Refusal = common::ResultCode::NotServing;
  if (this->IsStopped)
    return nullptr;
  const std::uint64_t Number = Presented.Sequence >> WorkerNumberShift;
  if (Number < this->ByNumber.size())
    return this->ByNumber[Number];
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
    if (!this->IsStopped && !this->ByNumber.empty()) {
      const auto Collector =
          std::make_shared<ReportCollector>(this->ByNumber.size(), Sink);
      for (const auto &Worker : this->ByNumber)
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
  return this->Newest;
}

void TrafficRouter::stop(std::chrono::milliseconds Grace) {
  std::vector<std::shared_ptr<TrafficWorker>> Ending;
  {
    const std::lock_guard Guard(this->Mutex);
    this->IsStopped = true;
    Ending = this->ByNumber;
  }
  for (const auto &Worker : Ending)
    Worker->beginStop(Grace);
  for (const auto &Worker : Ending)
    Worker->join();
}

} // namespace acaciacross::traffic
