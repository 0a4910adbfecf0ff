#include "Node/TrafficThread.h"

#include "Net/Sockets.h"

#include <algorithm>
#include <iterator>
#include <optional>
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
    : Time(TimeSource), Regions(Settings.RegionByDomain), Loop(TimeSource),
      Handover(this->Loop, Log), Random(common::SeededRandom::fromSystem()),
      Memory(gateway::MemoryShares::of(Settings.MemoryBytes)),
      Descriptors(socketLimit(Settings)),
      Registry(Settings.RetryBudget, Settings.ColdStart, this->Regions),
      Sender(this->Loop, this->Registry, Encodings.searchers(), Log,
             {Settings.FailureDomain, this->Memory.ResponseBytes}),
      Selector(this->Random, Settings.FailureDomain),
      Load(this->Sender, this->Demand, this->Random),
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
      ColdLog(this->Registry, Log), Readiness(Encodings.readinessPage(*this)),
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
      VmSelector(this->Random), HomeRegions(this->Regions),
      HasOtherSeeds(std::ranges::any_of(Settings.SeedAddresses,
                                        [&](const common::Address &Seed) {
                                          return Seed != Settings.PeerAddress;
                                        })) {}

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
    std::set<std::string> EvacuatedDomains,
    std::shared_ptr<const forwarding::RoutingTable> Table,
    common::MonotonicTime TableAcceptedAt) {
  this->Loop.post([this, Searchers = std::move(Searchers),
                   EvacuatedDomains = std::move(EvacuatedDomains),
                   Table = std::move(Table), TableAcceptedAt] {
    this->Registry.setEvacuatedDomains(EvacuatedDomains);
    this->Registry.setSearchers(Searchers, this->Loop.now());
    if (Table != nullptr && Table != this->Registry.table()) {
      this->Handover.replace(this->Registry.table(), *Table, TableAcceptedAt);
      this->Registry.setTable(Table);
    }
    this->Sender.withdrawUnlisted();
    this->Sender.closeUnlisted();
  });
}

void TrafficThread::setFleet(fleet::FleetView View) {
  this->Loop.post([this, View = std::move(View)] {
    this->Fleet = View;
    this->updateFleetShare();
    this->updateFleetMembers();
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

void TrafficThread::updateFleetMembers() {
  forwarding::FleetMembers Members;
  Members.Self = this->Fleet.EntryVms.front().Vm;
  Members.Placed = this->Fleet.PlacedVms;
  Members.Live = this->Fleet.LiveVms;
  // A VM that has started and finds nobody may be cut off from the others.
  const bool HasFoundPeers = Members.Live.size() > 1 || !this->HasOtherSeeds;
  Members.IsKnown = HasFoundPeers && this->Fleet.IsComplete &&
                    this->Registry.fleet().isKnown();
  const common::MonotonicTime Now = this->Loop.now();
  this->Registry.setMembers(Members, Now);
  this->ColdLog.update(Now);
}

bool TrafficThread::isReady() const {
  return !this->Stopping && this->Registry.table() != nullptr &&
         !this->Registry.allSearchers().empty();
}

// A VM that has just started knows too few other VMs. Callers keep the
// addresses that they have until they receive new ones.
std::vector<routing::AddressCandidate>
TrafficThread::addresses(std::size_t MaxCount,
                         const routing::AddressQuery &Query) {
  const std::shared_ptr<const forwarding::RoutingTable> &Table =
      this->Registry.table();
  const bool AreHomesUnknown =
      Table == nullptr && this->Regions.hasSeveralRegions();
  if (!this->Registry.fleet().isKnown() || AreHomesUnknown)
    return {};
  const auto Homes =
      Table == nullptr ? std::nullopt : Table->homesOf(Query.Host);
  const auto IsAllowed = [&](const routing::AddressCandidate &Vm) {
    return !Homes || this->HomeRegions.allows(Vm, *Homes, Query);
  };
  const std::vector<routing::AddressCandidate> &All = this->Fleet.EntryVms;
  std::vector<routing::AddressCandidate> Vms{All.front()};
  std::copy_if(All.begin() + 1, All.end(), std::back_inserter(Vms), IsAllowed);
  return this->VmSelector.select(Vms, this->isReady() && IsAllowed(All.front()),
                                 this->Time.monotonicNow(), MaxCount,
                                 Query.FailureDomain);
}

} // namespace acaciacross::node
