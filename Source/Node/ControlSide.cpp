#include "Node/ControlSide.h"

#include "Configuration/ReaderElection.h"

#include <algorithm>
#include <utility>

namespace acaciacross::node {

namespace {

// Only the expiry of held entries and the phases of a stop depend on this
// period.
constexpr std::chrono::milliseconds TickPeriod{200};
// An unfinished stop is ended this long before the process would be killed.
constexpr std::chrono::milliseconds ExitMargin{400};

fleet::FleetAgentSettings agentSettings(const NodeSettings &Settings,
                                        common::RandomSource &Random) {
  fleet::FleetAgentSettings Result;
  Result.Vm = Settings.Vm;
  Result.Run = common::Incarnation(Random.next());
  Result.Callers = Settings.Callers;
  Result.Peers = Settings.Peers;
  Result.FailureDomain = Settings.FailureDomain;
  Result.CapacityMilliCores = Settings.CapacityMilliCores;
  Result.Seeds = Settings.Seeds;
  Result.SizeWindow = Settings.Repeats.Window;
  return Result;
}

} // namespace

ControlSide::ControlSide(const NodeSettings &Settings,
                         const NodeEncodings &Encodings,
                         const common::Clock &TimeSource,
                         logging::EventLog &Log, TrafficThread &Traffic,
                         std::function<void()> OnStopped)
    : Time(TimeSource), Log(Log), Traffic(Traffic),
      OnStopped(std::move(OnStopped)), StopLimit(Settings.StopLimit),
      Random(common::SeededRandom::fromSystem()),
      Reactor([this] { this->publish(); }),
      Published(Encodings.items(), TimeSource, Log),
      Duty(Settings.ChangesApplyWithin),
      Relay(Settings.Peers, this->Reactor.events(), TimeSource, this->Published,
            Log),
      Agent(agentSettings(Settings, this->Random), this->Reactor.events(),
            this->BootTime, this->Random, Log, *this, *this, this->Placement) {}

ControlSide::~ControlSide() { this->stop(); }

void ControlSide::start(discovery::StoreSwitch &Store) {
  this->Store = &Store;
  this->Worker = std::thread(
      [this] { this->Reactor.run(TickPeriod, [this] { this->tick(); }); });
}

void ControlSide::stop() {
  if (!this->Worker.joinable())
    return;
  this->Reactor.end();
  this->Worker.join();
}

void ControlSide::beginStop() {
  this->Reactor.post([this] {
    if (this->StopSequence.phase() != membership::StopPhase::Running)
      return;
    this->StopBeganAt = this->Time.monotonicNow();
    this->StopSequence.begin(this->StopBeganAt);
    this->Agent.setState(membership::ServingState::Leaving);
    this->Traffic.beginStop();
    this->Log.write(logging::LogRecord(common::LogEvent::ProcessStopping)
                        .number("active", static_cast<std::int64_t>(
                                              this->Traffic.activeRequests())));
  });
}

void ControlSide::addSeeds(std::vector<common::Address> Seeds) {
  this->Reactor.post([this, Seeds = std::move(Seeds)] {
    this->Agent.addSeeds(Seeds);
    this->Log.write(
        logging::LogRecord(common::LogEvent::SettingsReloaded)
            .number("seeds", static_cast<std::int64_t>(Seeds.size())));
  });
}

void ControlSide::onSnapshot(std::vector<discovery::StoreItem> Items,
                             std::uint64_t Revision) {
  this->Reactor.post([this, Items = std::move(Items), Revision] {
    this->Published.onSnapshot(Items, Revision);
  });
}

void ControlSide::onChanges(std::vector<discovery::StoreChange> Changes,
                            std::uint64_t Revision) {
  this->Reactor.post([this, Changes = std::move(Changes), Revision] {
    this->Published.onChanges(Changes, Revision);
  });
}

void ControlSide::onAnswered() {
  this->Reactor.post([this] { this->Published.onAnswered(); });
}

void ControlSide::onCallFailed(const std::string &Problem,
                               std::chrono::milliseconds Duration) {
  this->Reactor.post([this, Problem, Duration] {
    this->Published.onCallFailed(Problem, Duration);
  });
}

void ControlSide::onUnavailable(const std::string &Problem) {
  this->Reactor.post(
      [this, Problem] { this->Published.onUnavailable(Problem); });
}

void ControlSide::onAvailable() {
  this->Reactor.post([this] { this->Published.onAvailable(); });
}

void ControlSide::onHistoryLost() {
  this->Reactor.post([this] { this->Published.onHistoryLost(); });
}

void ControlSide::onFleet(const fleet::FleetView &View) {
  this->Traffic.setFleet(View);
  const common::MonotonicTime Now = this->Time.monotonicNow();
  if (const auto At = this->Published.answeredAt())
    this->Duty.noteAnswer(*At);
  const bool MustRead = this->Duty.mustRead(Now, this->isElected(View),
                                            this->Published.hasSnapshot());
  this->Store->setReading(MustRead, this->Published.revision());
  if (MustRead == this->IsReading)
    return;
  this->IsReading = MustRead;
  this->Log.write(logging::LogRecord(common::LogEvent::ReaderChanged)
                      .flag("reads", MustRead)
                      .milliseconds("answer_age_ms", this->answerAge()));
}

void ControlSide::onPeer(const common::Address &Peer,
                         const membership::MemberStatus &Status,
                         common::MonotonicTime SentAt) {
  this->Duty.noteAnswer(SentAt - Status.ServiceAnswerAge);
  this->Relay.onPeer(Peer, Status);
}

std::uint64_t ControlSide::knownRevision() const {
  return this->Published.revision();
}

std::chrono::milliseconds ControlSide::answerAge() const {
  return this->Duty.answerAge(this->Time.monotonicNow());
}

// Placed VMs are elected because their peers probe them most often, so that the
// other VMs soon learn of an answer of the store. There is one election for the
// whole fleet instead of one for each failure domain, since a VM that learns of
// no fresh answer reads the store itself.
bool ControlSide::isElected(const fleet::FleetView &View) const {
  std::vector<configuration::ReaderCandidate> Candidates;
  const auto Add = [&](const common::VmId &Vm) {
    Candidates.push_back({Vm, "", membership::ServingState::Serving});
  };
  // Before the first configuration no VM serves; any live VM may then be
  // elected to read it.
  if (View.Placed.empty())
    std::ranges::for_each(View.Live, Add);
  else
    std::ranges::for_each(View.Placed, Add);
  return configuration::ReaderElection::readers(Candidates)
      .contains(View.EntryVms.front().Vm);
}

unsigned ControlSide::busyPerMille() const { return this->Busy.perMille(); }

void ControlSide::tick() {
  this->Busy.addSample(this->Time.monotonicNow(), this->Traffic.idleTime());
  this->Published.expire();
  this->advanceStop();
}

void ControlSide::advanceStop() {
  if (this->StopSequence.phase() == membership::StopPhase::Running ||
      this->IsStopReported)
    return;
  const common::MonotonicTime Now = this->Time.monotonicNow();
  const membership::StopPhase PreviousPhase = this->StopSequence.phase();
  const membership::StopPhase Phase =
      this->StopSequence.advance(Now, this->Traffic.activeRequests());
  if (Phase == membership::StopPhase::Draining && PreviousPhase != Phase)
    this->Traffic.stopAcceptingCallers();
  const bool IsLate = Now - this->StopBeganAt >= this->StopLimit - ExitMargin;
  if (Phase != membership::StopPhase::Done && !IsLate)
    return;
  this->IsStopReported = true;
  this->OnStopped();
}

void ControlSide::publish() {
  if (this->Published.changes() == this->PublishedChanges)
    return;
  this->PublishedChanges = this->Published.changes();
  this->Traffic.setPublished(this->Published.searchers(),
                             this->Published.table());
  const bool CanServe =
      this->Published.hasSnapshot() && this->Published.table() != nullptr;
  if (!CanServe || this->IsServing)
    return;
  this->IsServing = true;
  if (this->StopSequence.phase() == membership::StopPhase::Running)
    this->Agent.setState(membership::ServingState::Serving);
}

} // namespace acaciacross::node
