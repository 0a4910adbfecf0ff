#include "Node/NodeController.h"

#include "Discovery/StoreReaderElection.h"

#include <algorithm>
#include <utility>

namespace acaciacross::node {

namespace {

// Only the expiry of held entries and the phases of a stop depend on this
// period.
constexpr std::chrono::milliseconds TickPeriod{200};

fleet::FleetAgentSettings agentSettings(const NodeSettings &Settings,
                                        common::RandomSource &Random) {
  fleet::FleetAgentSettings Result;
  Result.Vm = Settings.Vm;
  Result.Incarnation = common::Incarnation(Random.next());
  Result.CallerAddress = Settings.CallerAddress;
  Result.PeerAddress = Settings.PeerAddress;
  Result.FailureDomain = Settings.FailureDomain;
  Result.CapacityMilliCores = Settings.CapacityMilliCores;
  Result.SeedAddresses = Settings.SeedAddresses;
  Result.SizeWindow = Settings.RetryBudget.Window;
  return Result;
}

} // namespace

NodeController::NodeController(const NodeSettings &Settings,
                               const NodeEncodings &Encodings,
                               const common::Clock &TimeSource,
                               logging::EventLog &Log, TrafficThread &Traffic,
                               std::function<void()> OnStopped)
    : Time(TimeSource), Log(Log), Traffic(Traffic),
      OnStopped(std::move(OnStopped)), KillAfter(Settings.StopLimit),
      Random(common::SeededRandom::fromSystem()),
      Reactor([this] { this->publish(); }),
      Published(Encodings.items(), TimeSource, Log),
      ReadPolicy(Settings.MaxChangeDelay),
      Exchange(Settings.PeerAddress, this->Reactor.events(), TimeSource,
               this->Published, *this, Log),
      Agent(agentSettings(Settings, this->Random), this->Reactor.events(),
            this->BootTime, this->Random, Log, *this, *this, this->Placement) {}

NodeController::~NodeController() { this->stop(); }

void NodeController::start(discovery::StoreReadControl &ReadControl) {
  this->ReadControl = &ReadControl;
  this->Worker = std::thread(
      [this] { this->Reactor.run(TickPeriod, [this] { this->tick(); }); });
}

void NodeController::stop() {
  if (!this->Worker.joinable())
    return;
  this->Reactor.end();
  this->Worker.join();
}

void NodeController::beginStop() {
  this->Reactor.post([this] {
    if (this->StopSequence.phase() != membership::StopPhase::Running)
      return;
    const common::MonotonicTime Now = this->Time.monotonicNow();
    this->StopSchedule = membership::StopSchedule::of(Now, this->KillAfter);
    this->StopSequence.begin(Now, this->StopSchedule.AnswerBy);
    this->Agent.setState(membership::ServingState::Leaving);
    this->Traffic.beginStop(this->StopSchedule);
    this->Log.write(logging::LogRecord(common::LogEvent::ProcessStopping)
                        .number("active", static_cast<std::int64_t>(
                                              this->Traffic.activeRequests())));
  });
}

void NodeController::addSeeds(std::vector<common::Address> Seeds) {
  this->Reactor.post([this, Seeds = std::move(Seeds)] {
    this->Agent.addSeeds(Seeds);
    this->Log.write(
        logging::LogRecord(common::LogEvent::SettingsReloaded)
            .number("seeds", static_cast<std::int64_t>(Seeds.size())));
  });
}

void NodeController::onSnapshot(std::vector<discovery::StoreItem> Items,
                                const discovery::StoreAnswer &Answer) {
  this->Reactor.post([this, Items = std::move(Items), Answer] {
    common::StorePosition Newest;
    for (const discovery::StoreItem &Item : Items)
      Newest = std::max(Newest, Item.Position);
    this->recordAnswer(Answer, "read", Items.size(), Newest);
    this->Published.onSnapshot(Items, Answer.Position);
  });
}

void NodeController::onChanges(std::vector<discovery::StoreChange> Changes,
                               const discovery::StoreAnswer &Answer) {
  this->Reactor.post([this, Changes = std::move(Changes), Answer] {
    common::StorePosition Newest;
    for (const discovery::StoreChange &Change : Changes)
      Newest = std::max(Newest, Change.Item.Position);
    this->recordAnswer(Answer, "watch", Changes.size(), Newest);
    if (!Changes.empty())
      this->Published.onChanges(Changes, Answer.Position);
  });
}

void NodeController::recordAnswer(const discovery::StoreAnswer &Answer,
                                  const char *Call, std::size_t Changes,
                                  common::StorePosition Newest) {
  const common::MonotonicTime Now = this->Time.monotonicNow();
  const bool IsCurrent =
      Answer.Consistency == discovery::ReadConsistency::Current;
  if (IsCurrent)
    this->ReadPolicy.recordAnswer(Answer.GivenAt, Answer.Position.Era);
  this->Log.write(
      logging::LogRecord(common::LogEvent::StoreAnswered)
          .text("call", Call)
          .flag("stale_allowed", !IsCurrent)
          .number("changes", static_cast<std::int64_t>(Changes))
          .number("era", static_cast<std::int64_t>(Answer.Position.Era))
          .number("revision",
                  static_cast<std::int64_t>(Answer.Position.Revision))
          .number("newest", static_cast<std::int64_t>(Newest.Revision))
          .milliseconds("took_ms", Answer.ReceivedAt - Answer.CalledAt)
          .milliseconds("queued_ms", Now - Answer.ReceivedAt));
}

void NodeController::onCallFailed(const std::string &Problem,
                                  std::chrono::milliseconds Duration) {
  this->Reactor.post([this, Problem, Duration] {
    this->Published.onCallFailed(Problem, Duration);
  });
}

void NodeController::onUnavailable(const std::string &Problem) {
  this->Reactor.post(
      [this, Problem] { this->Published.onUnavailable(Problem); });
}

void NodeController::onAvailable() {
  this->Reactor.post([this] { this->Published.onAvailable(); });
}

void NodeController::onHistoryLost() {
  this->Reactor.post([this] { this->Published.onHistoryLost(); });
}

void NodeController::onInvalidEra(const std::string &Text) {
  this->Reactor.post([this, Text] { this->Published.onInvalidEra(Text); });
}

void NodeController::onFleetView(const fleet::FleetView &View) {
  this->Traffic.setFleet(View);
  const common::MonotonicTime Now = this->Time.monotonicNow();
  std::vector<common::VmId> Responsive = View.LiveVms;
  std::erase_if(Responsive, [&View](const common::VmId &Vm) {
    return View.SilentVms.contains(Vm);
  });
  const auto Rank =
      discovery::FallbackRank::of(View.EntryVms.front().Vm, Responsive);
  const bool IsElected = this->isElected(View);
  const bool HasSnapshot = this->Published.hasSnapshot();
  const bool MustRead =
      this->ReadPolicy.mustRead(Now, IsElected, HasSnapshot, Rank);
  this->ReadControl->setMode(
      {MustRead, this->Published.position(),
       discovery::StoreReadPolicy::maxBackOff(IsElected, HasSnapshot, Rank)});
  if (MustRead == this->IsReading)
    return;
  this->IsReading = MustRead;
  this->Log.write(
      logging::LogRecord(common::LogEvent::ReaderChanged)
          .flag("reads", MustRead)
          .milliseconds("answer_age_ms", this->ReadPolicy.answerAge(Now)));
}

void NodeController::onPeerAcknowledged(const common::Address &Peer,
                                        const membership::MemberStatus &Status,
                                        common::MonotonicTime SentAt) {
  const common::MonotonicTime AnsweredAt = SentAt - Status.ServiceAnswerAge;
  this->ReadPolicy.recordPeerAnswer(AnsweredAt, Status.PositionInEffect,
                                    this->Published.position());
  this->Published.onPeerAnswered(AnsweredAt);
  this->Exchange.onPeerStatus(Peer, Status);
}

// Replies of peers are handled outside the tasks and ticks of the reactor.
void NodeController::onPublishedStateChanged() { this->publish(); }

common::StorePosition NodeController::knownPosition() const {
  return this->Published.position();
}

std::chrono::milliseconds NodeController::answerAge() const {
  return this->ReadPolicy.reportedAge(this->Time.monotonicNow(),
                                      this->Published.position().Era);
}

// While addresses of the fleet have not been probed yet, each VM would be among
// the best of those that it knows.
bool NodeController::isElected(const fleet::FleetView &View) const {
  return View.IsComplete && discovery::StoreReaderElection::isElected(
                                View.EntryVms.front().Vm, View.PlacedVms,
                                View.LiveVms, View.SilentVms);
}

unsigned NodeController::busyPerMille() const { return this->Busy.perMille(); }

void NodeController::tick() {
  this->Busy.addSample(this->Time.monotonicNow(), this->Traffic.idleTime());
  this->Published.expire();
  this->advanceStop();
}

void NodeController::advanceStop() {
  if (this->StopSequence.phase() == membership::StopPhase::Running ||
      this->IsStopReported)
    return;
  const common::MonotonicTime Now = this->Time.monotonicNow();
  const membership::StopPhase PreviousPhase = this->StopSequence.phase();
  const membership::StopPhase Phase =
      this->StopSequence.advance(Now, !this->Traffic.hasFinishedCallers());
  if (Phase == membership::StopPhase::Draining && PreviousPhase != Phase)
    this->Traffic.finishCallers();
  const bool IsLate = Now >= this->StopSchedule.ExitBy;
  if (Phase != membership::StopPhase::Done && !IsLate)
    return;
  this->IsStopReported = true;
  this->Log.write(logging::LogRecord(common::LogEvent::CallersFinished)
                      .flag("in_time", Phase == membership::StopPhase::Done)
                      .number("active", static_cast<std::int64_t>(
                                            this->Traffic.activeRequests())));
  this->OnStopped();
}

void NodeController::publish() {
  if (this->Published.changes() == this->PublishedChanges)
    return;
  this->PublishedChanges = this->Published.changes();
  this->Traffic.setPublished(
      this->Published.searchers(), this->Published.evacuatedDomains(),
      this->Published.table(), this->Published.tableAcceptedAt());
  const bool CanServe =
      this->Published.hasSnapshot() && this->Published.table() != nullptr;
  if (!CanServe || this->IsServing)
    return;
  this->IsServing = true;
  if (this->StopSequence.phase() == membership::StopPhase::Running)
    this->Agent.setState(membership::ServingState::Serving);
}

} // namespace acaciacross::node
