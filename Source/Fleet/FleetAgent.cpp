#include "Fleet/FleetAgent.h"

#include "Common/Error.h"

#include <ace/Reactor.h>

#include <utility>

namespace acaciacross::fleet {

namespace {

// After the start probes are sent more often to find peers: callers connect at
// once, and this VM's share of the searchers depends on the size of the fleet.
constexpr std::chrono::milliseconds StartupProbePeriod{50};
constexpr std::chrono::milliseconds StartupTime{1'000};
// The startup phase is extended up to this time while addresses of a large
// fleet have not been probed yet.
constexpr std::chrono::milliseconds MaxStartupTime{3'000};

common::LogEvent eventOf(membership::FleetEventKind Kind) {
  switch (Kind) {
  case membership::FleetEventKind::Joined:
    return common::LogEvent::PeerJoined;
  case membership::FleetEventKind::Leaving:
    return common::LogEvent::PeerLeaving;
  case membership::FleetEventKind::Lost:
    return common::LogEvent::PeerLost;
  case membership::FleetEventKind::Restarted:
    return common::LogEvent::PeerRestarted;
  case membership::FleetEventKind::DuplicateId:
    break;
  }
  return common::LogEvent::VmIdDuplicate;
}

} // namespace

FleetAgent::FleetAgent(FleetAgentSettings Settings, ACE_Reactor &Events,
                       const common::Clock &Time, common::RandomSource &Random,
                       logging::EventLog &Log, FleetViewListener &Listener,
                       const LocalStatusSource &StatusSource,
                       routing::PlacementPolicy &Placement)
    : ACE_Event_Handler(&Events), Settings(std::move(Settings)), Time(Time),
      Log(Log), Listener(Listener), StatusSource(StatusSource),
      Placement(Placement), Fleet(this->Settings.Vm),
      Hints(this->Settings.PeerAddress),
      Socket(this->Settings.PeerAddress, Events, *this, Time),
      Probes(this->Socket, Random), FleetSize(this->Settings.SizeWindow) {
  this->addSeeds(this->Settings.SeedAddresses);
  this->prepareHeartbeat();
  this->schedule(StartupProbePeriod);
  this->StartedAt = this->Time.monotonicNow();
  this->StartupUntil = this->StartedAt + StartupTime;
  this->Probes.setDiscovering(true);
}

FleetAgent::~FleetAgent() { this->reactor()->cancel_timer(this); }

void FleetAgent::schedule(std::chrono::milliseconds Interval) {
  this->reactor()->cancel_timer(this);
  const ACE_Time_Value TimerInterval(Interval);
  if (this->reactor()->schedule_timer(this, nullptr, ACE_Time_Value::zero,
                                      TimerInterval) < 0)
    throw common::Error(common::ResultCode::InternalError,
                        "the probe timer could not be scheduled");
}

void FleetAgent::setState(membership::ServingState NewState) {
  this->State = NewState;
  this->prepareHeartbeat();
}

void FleetAgent::addSeeds(const std::vector<common::Address> &Seeds) {
  for (const common::Address &Seed : Seeds)
    this->Hints.addSeed(Seed);
}

int FleetAgent::handle_timeout(const ACE_Time_Value &, const void *) {
  const common::MonotonicTime Now = this->Time.monotonicNow();
  if (const auto PauseLength = this->Pauses.tick(Now, this->Time.wallNow()))
    this->handlePause(*PauseLength);
  const bool IsDiscovering =
      this->Hints.hasUntried() && Now < this->StartedAt + MaxStartupTime;
  if (this->StartupUntil && Now >= *this->StartupUntil && !IsDiscovering) {
    this->StartupUntil.reset();
    this->Probes.setDiscovering(false);
    this->schedule(membership::ProbePeriod);
    return 0;
  }
  this->Hints.expire(Now);
  this->handleEvents(this->Fleet.expire(Now), "probes");
  this->prepareHeartbeat();
  this->Probes.tick(Now, this->Fleet, this->Hints, this->NextHeartbeat);
  this->publish();
  return 0;
}

void FleetAgent::onProbe(const common::Address &From,
                         const peering::ProbeMessage &Message) {
  if (const auto PauseLength = this->Pauses.checkBeforeMessage(
          this->Time.monotonicNow(), this->Time.wallNow())) {
    this->handlePause(*PauseLength);
    return;
  }
  if (this->isOwn(Message.Content.Sender))
    return;
  this->NextHeartbeat.Sender = this->ownStatus();
  this->relayEvidence(From, Message.Sequence, Message.Content.Sender.Vm);
  this->Socket.sendAck(From, Message.Sequence, this->NextHeartbeat);
  this->Hints.add(From, this->Time.monotonicNow());
  if (!this->Fleet.knows(From))
    this->Hints.retry(From);
  this->applyContent(From, Message.Content);
}

void FleetAgent::onAck(const common::Address &From,
                       const peering::ProbeAckMessage &Message) {
  const common::MonotonicTime Now = this->Time.monotonicNow();
  if (const auto PauseLength =
          this->Pauses.checkBeforeMessage(Now, this->Time.wallNow())) {
    this->handlePause(*PauseLength);
    return;
  }
  const auto SentAt = this->Probes.matchAck(Message.Sequence, From, Now);
  const membership::MemberStatus &Sender = Message.Content.Sender;
  if (!SentAt || this->isOwn(Sender))
    return;
  this->handleEvents(this->Fleet.applyAck(Sender, From, *SentAt),
                     "acknowledgement of " + Sender.Vm.Value);
  this->Listener.onPeerAcknowledged(From, Sender, *SentAt);
  this->applyContent(From, Message.Content);
}

// Evidence is dated back from the sending time of this VM's own probe, so it is
// never taken for younger than it is.
void FleetAgent::onEvidence(const common::Address &From,
                            const peering::EvidenceMessage &Message) {
  const common::MonotonicTime Now = this->Time.monotonicNow();
  if (const auto PauseLength =
          this->Pauses.checkBeforeMessage(Now, this->Time.wallNow())) {
    this->handlePause(*PauseLength);
    return;
  }
  const auto SentAt = this->Probes.pendingSince(Message.Sequence, From);
  if (!SentAt)
    return;
  for (const membership::PeerEvidence &Evidence : Message.Peers) {
    if (Evidence.Vm == this->Settings.Vm)
      continue;
    if (this->Fleet.find(Evidence.Vm) == nullptr) {
      this->Hints.add(Evidence.PeerAddress, Now);
      this->Hints.retry(Evidence.PeerAddress);
    }
    this->handleEvents(
        this->Fleet.applyEvidence(Evidence, *SentAt - Evidence.Age),
        "evidence of another VM");
  }
}

void FleetAgent::relayEvidence(const common::Address &To,
                               std::uint64_t Sequence,
                               const common::VmId &Sender) {
  const membership::PeerRecord *Peer = this->Fleet.find(Sender);
  const bool IsLocalStandby =
      Peer != nullptr && !this->Placed.contains(Sender) &&
      Peer->Status.FailureDomain == this->Settings.FailureDomain;
  if (!IsLocalStandby || !this->Placed.contains(this->Settings.Vm))
    return;
  peering::EvidenceMessage Message;
  Message.Sequence = Sequence;
  Message.Peers =
      this->Relay.collect(this->Fleet, this->Placed, this->Time.monotonicNow());
  if (!Message.Peers.empty())
    this->Socket.sendEvidence(To, Message);
}

void FleetAgent::handlePause(std::chrono::milliseconds PauseLength) {
  this->Probes.discardPending();
  this->Socket.discardQueuedDatagrams();
  this->Fleet.discardEvidence(this->Time.monotonicNow());
  // Acknowledgements of peers that this VM does not know yet were dropped, too.
  for (const common::Address &Hint : this->Hints.addresses())
    if (!this->Fleet.knows(Hint))
      this->Hints.retry(Hint);
  this->Log.write(logging::LogRecord(common::LogEvent::PauseDetected)
                      .milliseconds("paused_ms", PauseLength));
}

bool FleetAgent::isOwn(const membership::MemberStatus &Sender) const {
  return Sender.Vm == this->Settings.Vm &&
         Sender.Incarnation == this->Settings.Incarnation;
}

membership::MemberStatus FleetAgent::ownStatus() const {
  membership::MemberStatus Status;
  Status.Vm = this->Settings.Vm;
  Status.Incarnation = this->Settings.Incarnation;
  Status.State = this->State;
  Status.CallerAddress = this->Settings.CallerAddress;
  Status.FailureDomain = this->Settings.FailureDomain;
  Status.PositionInEffect = this->StatusSource.knownPosition();
  Status.ServiceAnswerAge = this->StatusSource.answerAge();
  Status.CapacityMilliCores = this->Settings.CapacityMilliCores;
  Status.BusyPerMille = this->StatusSource.busyPerMille();
  return Status;
}

void FleetAgent::prepareHeartbeat() {
  this->NextHeartbeat.Updates = this->Updates.take();
  this->NextHeartbeat.Sender = this->ownStatus();
}

void FleetAgent::applyContent(const common::Address &From,
                              const membership::Heartbeat &Content) {
  this->handleEvents(
      this->UpdateExchange.apply(From, Content, this->Time.monotonicNow()),
      "message of " + Content.Sender.Vm.Value);
}

// The view is published with the next round of probes. Publishing costs work
// for each VM of the fleet, and a fleet that starts has an event for each VM.
void FleetAgent::handleEvents(const std::vector<membership::FleetEvent> &Events,
                              const std::string &Cause) {
  for (const membership::FleetEvent &Event : Events) {
    this->Log.write(logging::LogRecord(eventOf(Event.Kind))
                        .text("peer", Event.Vm.Value)
                        .text("cause", Cause));
    this->UpdateExchange.enqueue(Event);
  }
}

void FleetAgent::updatePlacement(FleetView &View, common::MonotonicTime Now) {
  std::vector<routing::PlacementCandidate> Candidates;
  const auto AddMember = [&](const membership::MemberStatus &Status) {
    if (Status.State != membership::ServingState::Leaving)
      View.LiveVms.push_back(Status.Vm);
    if (Status.State == membership::ServingState::Serving)
      Candidates.push_back({Status.Vm, Status.FailureDomain,
                            Status.CapacityMilliCores, Status.BusyPerMille});
  };
  AddMember(this->ownStatus());
  for (const membership::PeerRecord *Peer : this->Fleet.livePeers()) {
    AddMember(Peer->Status);
    if (Peer->UnansweredSince &&
        Now - *Peer->UnansweredSince >= membership::MaxEvidenceAge)
      View.SilentVms.insert(Peer->Status.Vm);
  }
  View.ServingCount = static_cast<unsigned>(Candidates.size());
  View.PlacedVms = this->Placement.choose(Candidates, Now);
  this->Placed = View.PlacedVms;
  this->Probes.setPlan(
      membership::ProbePlan::make(this->Fleet, this->Placed, this->Settings.Vm,
                                  this->Settings.FailureDomain, Now));
  // The set changes with each new peer until all known addresses have been
  // probed.
  if (View.PlacedVms == this->LastLoggedPlacement || this->Hints.hasUntried())
    return;
  this->LastLoggedPlacement = View.PlacedVms;
  this->Log.write(
      logging::LogRecord(common::LogEvent::CallersPlaced)
          .number("serving", View.ServingCount)
          .number("placed", static_cast<std::int64_t>(View.PlacedVms.size()))
          .flag("this_vm", View.PlacedVms.contains(this->Settings.Vm)));
}

void FleetAgent::publish() {
  const common::MonotonicTime Now = this->Time.monotonicNow();
  FleetView View;
  View.EntryVms.push_back({this->Settings.Vm, this->Settings.CallerAddress,
                           this->Settings.FailureDomain, Now,
                           this->StatusSource.busyPerMille()});
  for (const membership::PeerRecord *Peer : this->Fleet.servingPeers(Now))
    View.EntryVms.push_back({Peer->Status.Vm, Peer->Status.CallerAddress,
                             Peer->Status.FailureDomain, Peer->EvidenceAt,
                             Peer->Status.BusyPerMille});
  this->updatePlacement(View, Now);
  for (routing::AddressCandidate &EntryVm : View.EntryVms)
    EntryVm.IsPlaced = View.PlacedVms.contains(EntryVm.Vm);
  this->FleetSize.record(
      Now, static_cast<unsigned>(1 + this->Fleet.livePeers().size()),
      this->Hints.hasUntried());
  View.VmCount = this->FleetSize.largest(Now);
  View.IsComplete = !this->Hints.hasUntried();
  this->Listener.onFleetView(View);
}

} // namespace acaciacross::fleet
