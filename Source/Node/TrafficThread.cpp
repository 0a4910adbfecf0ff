#include "Node/TrafficThread.h"

#include <utility>

namespace acaciacross::node {

TrafficThread::TrafficThread(const NodeSettings &Settings,
                             const NodeEncodings &Encodings,
                             const common::Clock &TimeSource,
                             logging::EventLog &Log)
    : Time(TimeSource), Loop(TimeSource),
      Random(common::SeededRandom::fromSystem()), Book(Settings.Repeats),
      Port(this->Loop, this->Book, Encodings.searchers()), Choice(this->Random),
      Load(this->Port),
      Admission({&this->Reachability, &this->Load}), Tools{TimeSource,
                                                           this->Book,
                                                           this->Port,
                                                           this->Choice,
                                                           this->Hedges,
                                                           this->Partials},
      Requests(this->Loop, this->Tools, this->Admission, Encodings.callers(),
               Log),
      Metrics(this->Requests, this->Port, this->Book, Log, TimeSource),
      Readiness(Encodings.readinessPage(*this)),
      Directory(Encodings.directoryPage(*this)), MetricsPages(this->Metrics),
      ReadinessPages(*this->Readiness), DirectoryPages(*this->Directory),
      CallerListener(this->Loop, Settings.Callers, this->Requests),
      ReadinessListener(this->Loop, Settings.Readiness, this->ReadinessPages),
      DirectoryListener(this->Loop, Settings.Directory, this->DirectoryPages),
      MetricsListener(this->Loop, Settings.Metrics, this->MetricsPages),
      Advisor(this->Random) {}

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
    std::shared_ptr<const forwarding::RoutingTable> Table) {
  this->Loop.post(
      [this, Searchers = std::move(Searchers), Table = std::move(Table)] {
        this->Book.setSearchers(Searchers);
        if (Table != nullptr && Table != this->Book.table())
          this->Book.setTable(Table);
        this->Port.closeUnlisted();
      });
}

void TrafficThread::setFleet(fleet::FleetView View) {
  this->Loop.post([this, View = std::move(View)] {
    this->Fleet = View;
    this->updateFleetPart();
  });
}

void TrafficThread::beginStop() {
  this->Loop.post([this] {
    this->Stopping = true;
    this->Requests.beginStop();
  });
}

void TrafficThread::stopAcceptingCallers() {
  this->Loop.post([this] {
    this->CallerListener.stopAccepting();
    this->CallerListener.closeIdle();
  });
}

std::size_t TrafficThread::activeRequests() const {
  return this->Requests.active();
}

std::chrono::nanoseconds TrafficThread::idleTime() const {
  return this->Loop.idleTime();
}

void TrafficThread::updateFleetPart() {
  const bool WasPlaced = this->Book.fleet().IsPlaced;
  forwarding::FleetPart Part;
  Part.VmCount = this->Fleet.VmCount;
  Part.PlacedCount = static_cast<unsigned>(this->Fleet.Placed.size());
  Part.StandbyCount = this->Fleet.ServingCount - Part.PlacedCount;
  Part.IsPlaced = this->Fleet.EntryVms.front().IsPlaced;
  this->Book.setFleet(Part);
  if (WasPlaced && !Part.IsPlaced)
    this->Port.closeIdle();
}

bool TrafficThread::isReady() const {
  return !this->Stopping && this->Book.table() != nullptr &&
         !this->Book.allSearchers().empty();
}

// A VM that has just started knows too few other VMs. Callers keep the
// addresses that they have until they receive new ones.
std::vector<routing::AddressCandidate>
TrafficThread::addresses(std::size_t MaxCount) {
  if (!this->Book.fleet().isKnown())
    return {};
  return this->Advisor.advise(this->Fleet.EntryVms, this->isReady(),
                              this->Time.monotonicNow(), MaxCount);
}

} // namespace acaciacross::node
