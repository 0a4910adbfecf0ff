#include "Node/TrafficThread.h"

#include "Net/Sockets.h"

#include <utility>

namespace acaciacross::node {

namespace {

constexpr std::chrono::milliseconds FinishCheckPeriod{50};

/// Descriptors for sockets that this process may have open.
std::size_t socketLimit(const NodeSettings &Settings) {
  return Settings.MaxSockets.value_or(net::descriptorLimit());
}

} // namespace

TrafficThread::TrafficThread(const NodeSettings &Settings,
                             const NodeEncodings &Encodings,
                             const common::Clock &TimeSource,
                             logging::EventLog &Log)
    : Time(TimeSource), Loop(TimeSource), Handover(this->Loop, Log),
      Random(common::SeededRandom::fromSystem()),
      Memory(gateway::MemoryShares::of(Settings.MemoryBytes)),
      Descriptors(socketLimit(Settings)), Registry(Settings.RetryBudget),
      Sender(this->Loop, this->Registry, Encodings.searchers(), Log,
             {Settings.FailureDomain, this->Memory.ResponseBytes}),
      Selector(this->Random, Settings.FailureDomain), Load(this->Sender),
      Admission({&this->Stop, &this->Reachability, &this->Load}),
      Dependencies{TimeSource,     this->Registry, this->Sender,
                   this->Selector, this->Hedges,   this->PartialAnswers},
      Requests(this->Loop, this->Dependencies, this->Admission,
               Encodings.callers(), Log),
      Clients(this->Loop, Log, this->Memory.CallerBytes),
      CallerConnections(this->Descriptors, this->Sender),
      DirectoryConnections(this->Descriptors.directory()),
      PageConnections(this->Descriptors.page()),
      Metrics(this->Requests, this->Sender, this->Clients, this->Registry, Log,
              TimeSource),
      Readiness(Encodings.readinessPage(*this)),
      Directory(Encodings.directoryPage(*this)), MetricsPages(this->Metrics),
      ReadinessPages(*this->Readiness), DirectoryPages(*this->Directory),
      CallerListener(this->Loop, Settings.CallerAddress, this->Requests,
                     this->Clients, this->CallerConnections),
      ReadinessListener(this->Loop, Settings.ReadinessAddress,
                        this->ReadinessPages, this->Clients,
                        this->PageConnections),
      DirectoryListener(this->Loop, Settings.DirectoryAddress,
                        this->DirectoryPages, this->Clients,
                        this->DirectoryConnections),
      MetricsListener(this->Loop, Settings.MetricsAddress, this->MetricsPages,
                      this->Clients, this->PageConnections),
      VmSelector(this->Random) {}

TrafficThread::~TrafficThread() { this->stop(); }

void TrafficThread::start() {
  this->Worker = std::thread([this] { this->Loop.run(); });
}

void TrafficThread::stop() {
  if (!this->Worker.joinable())
    return;
  this->Loop.stop();
  this->Worker.join();
}

void TrafficThread::setPublished(
    std::vector<forwarding::SearcherEntry> Searchers,
    std::shared_ptr<const forwarding::RoutingTable> Table,
    common::MonotonicTime TableAcceptedAt) {
  this->Loop.post([this, Searchers = std::move(Searchers),
                   Table = std::move(Table), TableAcceptedAt] {
    this->Registry.setSearchers(Searchers);
    if (Table != nullptr && Table != this->Registry.table()) {
      this->Handover.replace(this->Registry.table(), *Table, TableAcceptedAt);
      this->Registry.setTable(Table);
    }
    this->Sender.closeUnlisted();
  });
}

void TrafficThread::setFleet(fleet::FleetView View) {
  this->Loop.post([this, View = std::move(View)] {
    this->Fleet = View;
    this->updateFleetShare();
  });
}

void TrafficThread::beginStop(const membership::StopSchedule &Schedule) {
  this->Loop.post([this, Schedule] {
    this->Stopping = true;
    this->Stop.begin(Schedule.AdmitAllUntil, Schedule.AnswerBy);
    this->Requests.beginStop(Schedule.AnswerBy);
  });
}

void TrafficThread::finishCallers() {
  this->Loop.post([this] {
    this->CallerListener.finish();
    this->awaitCallers();
  });
}

// A process that exited when no request was in progress would lose what callers
// have not read yet, and requests that arrive before the port is closed.
void TrafficThread::awaitCallers() {
  if (this->CallerListener.size() == 0) {
    this->HasFinishedCallers = true;
    return;
  }
  this->Loop.schedule(this->Loop.now() + FinishCheckPeriod,
                      [this] { this->awaitCallers(); });
}

std::size_t TrafficThread::activeRequests() const {
  return this->Requests.active();
}

bool TrafficThread::hasFinishedCallers() const {
  return this->HasFinishedCallers;
}

std::chrono::nanoseconds TrafficThread::idleTime() const {
  return this->Loop.idleTime();
}

void TrafficThread::updateFleetShare() {
  const bool WasPlaced = this->Registry.fleet().IsPlaced;
  forwarding::FleetShare Share;
  Share.VmCount = this->Fleet.VmCount;
  Share.PlacedCount = static_cast<unsigned>(this->Fleet.PlacedVms.size());
  Share.StandbyCount = this->Fleet.ServingCount - Share.PlacedCount;
  Share.IsPlaced = this->Fleet.EntryVms.front().IsPlaced;
  this->Registry.setFleet(Share);
  if (WasPlaced && !Share.IsPlaced)
    this->Sender.closeIdle();
}

bool TrafficThread::isReady() const {
  return !this->Stopping && this->Registry.table() != nullptr &&
         !this->Registry.allSearchers().empty();
}

// A VM that has just started knows too few other VMs. Callers keep the
// addresses that they have until they receive new ones.
std::vector<routing::AddressCandidate>
TrafficThread::addresses(std::size_t MaxCount,
                         const std::string &CallerDomain) {
  if (!this->Registry.fleet().isKnown())
    return {};
  return this->VmSelector.select(this->Fleet.EntryVms, this->isReady(),
                                 this->Time.monotonicNow(), MaxCount,
                                 CallerDomain);
}

} // namespace acaciacross::node
