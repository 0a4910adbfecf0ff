#include "Node/ControlSide.h"

#include "Configuration/ReaderElection.h"

#include <algorithm>
#include <utility>

namespace acaciacross::node {

namespace {

// Held entries and the phases of a stop are the only things that wait for it.
constexpr std::chrono::milliseconds TickPeriod{200};
// The process must have ended before it would be killed.
constexpr std::chrono::milliseconds ExitMargin{400};

fleet::FleetAgentSettings agentSettings(const NodeSettings &Settings,
                                        common::RandomSource &Random) {
  fleet::FleetAgentSettings Chosen;
  Chosen.Vm = Settings.Vm;
  Chosen.Run = common::Incarnation(Random.next());
  Chosen.Callers = Settings.Callers;
  Chosen.Peers = Settings.Peers;
  Chosen.FailureDomain = Settings.FailureDomain;
  Chosen.CapacityMilliCores = Settings.CapacityMilliCores;
  Chosen.Seeds = Settings.Seeds;
  Chosen.SizeWindow = Settings.Repeats.Window;
  return Chosen;
}

} // namespace

ControlSide::ControlSide(const NodeSettings &Settings,
                         const NodeEncodings &Encodings,
                         const common::Clock &TimeSource,
                         logging::EventLog &Journal, TrafficThread &Served,
                         std::function<void()> OnStopped)
    : Time(TimeSource), Log(Journal), Traffic(Served),
      Stopped(std::move(OnStopped)), StopLimit(Settings.StopLimit),
      Random(common::SeededRandom::fromSystem()),
      Reactor([this] { this->publish(); }),
      Published(Encodings.items(), TimeSource, Journal),
      Duty(Settings.ChangesApplyWithin),
      Relay(Settings.Peers, this->Reactor.events(), TimeSource, this->Published,
            Journal),
      Agent(agentSettings(Settings, this->Random), this->Reactor.events(),
            this->PauseTime, this->Random, Journal, *this, *this,
            this->Placement) {}

ControlSide::~ControlSide() { this->stop(); }

void ControlSide::start(discovery::StoreSwitch &Store) {
  this->Reading = &Store;
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
    if (this->Sequence.phase() != membership::StopPhase::Running)
      return;
    this->StopBeganAt = this->Time.monotonicNow();
    this->Sequence.begin(this->StopBeganAt);
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
  this->Reading->setReading(MustRead, this->Published.revision());
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

// The VMs that take callers are those that their peers probe most often, so
// that the others soon hear of an answer. One election for the whole fleet: a
// VM that hears of no fresh answer reads the store itself, so readers in each
// failure domain are not needed.
bool ControlSide::isElected(const fleet::FleetView &View) const {
  std::vector<configuration::ReaderCandidate> Live;
  const auto Add = [&](const common::VmId &Each) {
    Live.push_back({Each, "", membership::ServingState::Serving});
  };
  // Before the first configuration no VM serves, and somebody must wait for it.
  if (View.Placed.empty())
    std::ranges::for_each(View.Live, Add);
  else
    std::ranges::for_each(View.Placed, Add);
  return configuration::ReaderElection::readers(Live).contains(
      View.EntryVms.front().Vm);
}

unsigned ControlSide::busyPerMille() const { return this->Busy.perMille(); }

void ControlSide::tick() {
  this->Busy.note(this->Time.monotonicNow(), this->Traffic.waited());
  this->Published.expire();
  this->advanceStop();
}

void ControlSide::advanceStop() {
  if (this->Sequence.phase() == membership::StopPhase::Running || this->IsOver)
    return;
  const common::MonotonicTime Now = this->Time.monotonicNow();
  const membership::StopPhase Before = this->Sequence.phase();
  const membership::StopPhase Phase =
      this->Sequence.advance(Now, this->Traffic.activeRequests());
  if (Phase == membership::StopPhase::Draining && Before != Phase)
    this->Traffic.closeToCallers();
  const bool IsLate = Now - this->StopBeganAt >= this->StopLimit - ExitMargin;
  if (Phase != membership::StopPhase::Done && !IsLate)
    return;
  this->IsOver = true;
  this->Stopped();
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
  if (this->Sequence.phase() == membership::StopPhase::Running)
    this->Agent.setState(membership::ServingState::Serving);
}

} // namespace acaciacross::node
