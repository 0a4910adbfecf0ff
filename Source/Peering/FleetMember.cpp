#include "Peering/FleetMember.h"

#include "Common/Error.h"
#include "Common/Log.h"
#include "Configuration/ReaderElection.h"

#include <ace/Reactor.h>

namespace acaciacross::peering {

namespace {

// The VM list changes slowly and is long in a large fleet.
constexpr std::chrono::seconds VmListPeriod{5};
constexpr std::chrono::seconds ElectionPeriod{1};
// More than fit into one message; successive rounds carry different ones.
constexpr std::size_t MaxSpreadNotices = 256;

} // namespace

FleetMember::FleetMember(control::ControlState &State,
                         common::Incarnation Incarnation, ACE_Reactor &Reactor,
                         const common::Clock &Time,
                         common::RandomSource &Random, ReaderRole &Role)
    : ACE_Event_Handler(&Reactor), State(State), Time(Time), Role(Role),
      Incarnation(Incarnation), Fleet(State.settings().Vm),
      Hints(State.settings().PeerAddress), Audit(State), Schedule(Random),
      Sync(State, Reactor, Time),
      Socket(State.settings().PeerAddress, Reactor, *this, Time),
      Server(State.settings().PeerAddress, Reactor, this->Sync, Time),
      Probes(this->Socket, Random) {
  for (const common::Address &Seed : State.settings().SeedAddresses)
    this->Hints.addSeed(Seed);
  this->prepareRound();
  const ACE_Time_Value Period(membership::ProbePeriod);
  if (Reactor.schedule_timer(this, nullptr, ACE_Time_Value::zero, Period) < 0)
    throw common::Error(common::ResultCode::InternalError,
                        "the probe timer could not be scheduled");
}

FleetMember::~FleetMember() { this->reactor()->cancel_timer(this); }

const membership::FleetTable &FleetMember::fleet() const { return this->Fleet; }

const ProbeSocket &FleetMember::socket() const { return this->Socket; }

int FleetMember::handle_timeout(const ACE_Time_Value &, const void *) {
  const common::MonotonicTime Now = this->Time.monotonicNow();
  if (const auto Length = this->Pauses.tick(Now, this->Time.wallNow()))
    this->handlePauseEnd(*Length);
  this->tick(Now);
  return 0;
}

void FleetMember::tick(common::MonotonicTime Now) {
  this->Sync.refresh();
  this->addListedVms(Now);
  this->Hints.expire(Now);
  this->record(this->Fleet.expire(Now), "probes");
  this->prepareRound();
  this->Probes.tick(Now, this->Fleet, this->Hints, this->RoundContent);
  this->publishPeers(Now);
  this->electReaders(Now);
  this->readWhenDue(Now);
}

void FleetMember::handlePauseEnd(std::chrono::milliseconds Length) {
  this->Probes.discardPending();
  this->Socket.discardQueuedDatagrams();
  const common::MonotonicTime Now = this->Time.monotonicNow();
  this->Fleet.discardEvidence(Now);
  this->Schedule.discardAnswers(Now);
  this->State.discardEvidence();
  const std::string Milliseconds = std::to_string(Length.count());
  this->State.recordAudit("clock", this->State.settings().Vm.Value,
                          "paused for " + Milliseconds + " ms");
  common::logWarning(common::LogEvent::PauseDetected,
                     "milliseconds=" + Milliseconds);
}

void FleetMember::addListedVms(common::MonotonicTime Now) {
  if (Now < this->NextVmListAt)
    return;
  this->NextVmListAt = Now + VmListPeriod;
  for (const control::VmListEntry &Entry : this->State.vmList()) {
    if (Entry.Kind == control::VmKind::Entry)
      this->Hints.add(Entry.Endpoint, Now);
  }
}

membership::MemberStatus FleetMember::ownStatus() const {
  const configuration::EntrySettings &Settings = this->State.settings();
  membership::MemberStatus Status;
  Status.Vm = Settings.Vm;
  Status.Incarnation = this->Incarnation;
  Status.State = this->State.servingState();
  Status.CallerAddress = Settings.CallerAddress;
  Status.FailureDomain = Settings.FailureDomain;
  Status.PositionInEffect = this->State.configuration().highestRevision().Value;
  Status.ConfigurationDigest = this->Sync.digest();
  Status.ServiceAnswerAge = this->Schedule.answerAge(this->Time.monotonicNow());
  return Status;
}

// The VM list contains this VM too, so its own probes reach it. Another process
// with the id of this VM is answered like any peer, so that both detect the
// duplicate id.
bool FleetMember::isOwn(const membership::MemberStatus &Sender) const {
  return Sender.Vm == this->State.settings().Vm &&
         Sender.Incarnation == this->Incarnation;
}

void FleetMember::prepareRound() {
  this->RoundContent.Drains =
      this->Drains.take(this->State.drainNotices(MaxSpreadNotices));
  this->RoundContent.Updates = this->Updates.take();
  this->RoundContent.Sender = this->ownStatus();
}

void FleetMember::onProbe(const common::Address &From,
                          const ProbeMessage &Message) {
  if (const auto Length = this->Pauses.checkBeforeMessage(
          this->Time.monotonicNow(), this->Time.wallNow())) {
    this->handlePauseEnd(*Length);
    return;
  }
  const membership::MemberStatus &Sender = Message.Content.Sender;
  if (this->isOwn(Sender))
    return;
  // The state may have changed to "leaving" since the round began; no later
  // acknowledgement may say "serving".
  this->RoundContent.Sender = this->ownStatus();
  this->Socket.sendAck(From, Message.Sequence, this->RoundContent);
  this->Hints.add(From, this->Time.monotonicNow());
  this->applyContent(From, Message.Content);
}

void FleetMember::onAck(const common::Address &From,
                        const ProbeAckMessage &Message) {
  const common::MonotonicTime Now = this->Time.monotonicNow();
  if (const auto Length =
          this->Pauses.checkBeforeMessage(Now, this->Time.wallNow())) {
    this->handlePauseEnd(*Length);
    return;
  }
  const auto SentAt = this->Probes.matchAck(Message.Sequence, From, Now);
  const membership::MemberStatus &Sender = Message.Content.Sender;
  if (!SentAt || this->isOwn(Sender))
    return;
  this->Schedule.recordPeerAnswerAge(Sender.ServiceAnswerAge, *SentAt);
  this->record(this->Fleet.applyAck(Sender, From, *SentAt),
               "peer " + Sender.Vm.Value);
  this->applyContent(From, Message.Content);
  this->Sync.onStatus(From, Sender);
}

void FleetMember::applyContent(const common::Address &From,
                               const membership::Heartbeat &Content) {
  this->record(
      this->UpdateExchange.apply(From, Content, this->Time.monotonicNow()),
      "peer " + Content.Sender.Vm.Value);
  for (const membership::DrainNotice &Notice : Content.Drains)
    this->State.applyDrainNotice(Notice.Searcher, Notice.Age);
}

void FleetMember::record(const std::vector<membership::FleetEvent> &Events,
                         const std::string &Cause) {
  for (const membership::FleetEvent &Event : Events) {
    this->Audit.record(Event, Cause);
    this->UpdateExchange.enqueue(Event);
  }
  if (!Events.empty())
    this->publishPeers(this->Time.monotonicNow());
}

void FleetMember::publishPeers(common::MonotonicTime Now) {
  std::vector<routing::AddressCandidate> Peers;
  for (const membership::PeerRecord *Peer : this->Fleet.servingPeers(Now))
    Peers.push_back({Peer->Status.Vm, Peer->Status.CallerAddress,
                     Peer->Status.FailureDomain, Peer->EvidenceAt});
  this->State.setPeers(std::move(Peers));
}

void FleetMember::readWhenDue(common::MonotonicTime Now) {
  if (const auto At = this->State.lastServiceAnswerAt())
    this->Schedule.recordAnswer(*At);
  if (const auto Document = this->State.configuration().classes())
    this->Schedule.setBudget(Document->Budget);
  if (this->Schedule.takeDueRead(Now) && !this->IsReader)
    this->Role.readOnce();
}

void FleetMember::electReaders(common::MonotonicTime Now) {
  if (Now < this->NextElectionAt)
    return;
  this->NextElectionAt = Now + ElectionPeriod;
  const configuration::EntrySettings &Settings = this->State.settings();
  // Readers are elected per failure domain, so only VMs of the own one count.
  std::vector<configuration::ReaderCandidate> Live = {
      {Settings.Vm, Settings.FailureDomain, this->State.servingState()}};
  for (const membership::PeerRecord *Peer : this->Fleet.livePeers()) {
    if (Peer->Status.FailureDomain == Settings.FailureDomain)
      Live.push_back(
          {Peer->Status.Vm, Peer->Status.FailureDomain, Peer->Status.State});
  }
  const bool IsElected =
      configuration::ReaderElection::elect(Live).contains(Settings.Vm);
  if (IsElected == this->IsReader)
    return;
  this->IsReader = IsElected;
  this->Role.setReader(IsElected);
  this->State.recordAudit("election", Settings.Vm.Value,
                          IsElected
                              ? "reads the configuration service"
                              : "no longer reads the configuration service");
  common::logEvent(common::LogEvent::ReaderChanged,
                   "vm=" + Settings.Vm.Value +
                       " reader=" + (IsElected ? "true" : "false"));
}

} // namespace acaciacross::peering
