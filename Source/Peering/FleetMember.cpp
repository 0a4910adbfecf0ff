#include "Peering/FleetMember.h"

#include "Common/Error.h"
#include "Common/Log.h"
#include "Configuration/ReaderElection.h"

#include <ace/Reactor.h>

namespace acaciacross::peering {

namespace {

// The list changes slowly, and in a large fleet it is long.
constexpr std::chrono::seconds MentionPeriod{5};
constexpr std::chrono::seconds ElectionPeriod{1};
// More than fit into one message; they take turns.
constexpr std::size_t MaxSpreadNotices = 256;

} // namespace

FleetMember::FleetMember(control::ControlState &Target,
                         common::Incarnation OwnRun, ACE_Reactor &Events,
                         const common::Clock &TimeSource,
                         common::RandomSource &RandomNumbers,
                         ReaderRole &Watcher)
    : ACE_Event_Handler(&Events), State(Target), Time(TimeSource),
      Role(Watcher), Run(OwnRun), Fleet(Target.settings().Vm),
      Hints(Target.settings().Peers), Audit(Target), Reads(RandomNumbers),
      Sync(Target, Events, TimeSource),
      Socket(Target.settings().Peers, Events, *this, TimeSource),
      Server(Target.settings().Peers, Events, this->Sync, TimeSource),
      Probes(this->Socket, RandomNumbers) {
  for (const common::Address &Seed : Target.settings().Seeds)
    this->Hints.addSeed(Seed);
  this->prepareRound();
  const ACE_Time_Value Period(membership::ProbePeriod);
  if (Events.schedule_timer(this, nullptr, ACE_Time_Value::zero, Period) < 0)
    throw common::Error(common::ResultCode::InternalError,
                        "the probe timer could not be scheduled");
}

FleetMember::~FleetMember() { this->reactor()->cancel_timer(this); }

const membership::FleetTable &FleetMember::fleet() const { return this->Fleet; }

const ProbeSocket &FleetMember::socket() const { return this->Socket; }

int FleetMember::handle_timeout(const ACE_Time_Value &, const void *) {
  const common::MonotonicTime Now = this->Time.monotonicNow();
  if (const auto Length = this->Pauses.tick(Now, this->Time.wallNow()))
    this->endPause(*Length);
  this->tick(Now);
  return 0;
}

void FleetMember::tick(common::MonotonicTime Now) {
  this->Sync.refresh();
  this->mentionListedVms(Now);
  this->Hints.expire(Now);
  this->record(this->Fleet.expire(Now), "probes");
  this->prepareRound();
  this->Probes.tick(Now, this->Fleet, this->Hints, this->Round);
  this->publishPeers(Now);
  this->electReaders(Now);
  this->readWhenDue(Now);
}

void FleetMember::endPause(std::chrono::milliseconds Length) {
  this->Probes.discardPending();
  this->Socket.discardWaiting();
  const common::MonotonicTime Now = this->Time.monotonicNow();
  this->Fleet.discardEvidence(Now);
  this->Reads.discardAnswers(Now);
  this->State.endPause();
  const std::string Milliseconds = std::to_string(Length.count());
  this->State.note("clock", this->State.settings().Vm.Value,
                   "paused for " + Milliseconds + " ms");
  common::logWarning(common::LogEvent::PauseDetected,
                     "milliseconds=" + Milliseconds);
}

void FleetMember::mentionListedVms(common::MonotonicTime Now) {
  if (Now < this->NextMentionAt)
    return;
  this->NextMentionAt = Now + MentionPeriod;
  for (const control::VmListEntry &Entry : this->State.vmList()) {
    if (Entry.Kind == control::VmKind::Entry)
      this->Hints.mention(Entry.Endpoint, Now);
  }
}

membership::MemberStatus FleetMember::ownStatus() const {
  const configuration::EntrySettings &Settings = this->State.settings();
  membership::MemberStatus Status;
  Status.Vm = Settings.Vm;
  Status.Run = this->Run;
  Status.State = this->State.servingState();
  Status.Callers = Settings.Callers;
  Status.FailureDomain = Settings.FailureDomain;
  Status.InEffect = this->State.configuration().highestRevision();
  Status.ConfigurationDigest = this->Sync.digest();
  Status.ServiceAnswerAge = this->Reads.answerAge(this->Time.monotonicNow());
  return Status;
}

// The VM list names this VM too. Another process with the id of this VM is
// answered like any peer, so that both see that the id is in use twice.
bool FleetMember::isOwn(const membership::MemberStatus &Sender) const {
  return Sender.Vm == this->State.settings().Vm && Sender.Run == this->Run;
}

void FleetMember::prepareRound() {
  this->Round.Drains =
      this->Drains.take(this->State.drainNotices(MaxSpreadNotices));
  this->Round.Updates = this->Updates.take();
  this->Round.Sender = this->ownStatus();
}

void FleetMember::onProbe(const common::Address &From,
                          const ProbeMessage &Message) {
  if (const auto Length = this->Pauses.beforeMessage(this->Time.monotonicNow(),
                                                     this->Time.wallNow())) {
    this->endPause(*Length);
    return;
  }
  const membership::MemberStatus &Sender = Message.Content.Sender;
  if (this->isOwn(Sender))
    return;
  // The state may have become "leaving" since the round began, and no
  // acknowledgement after that may say "serving".
  this->Round.Sender = this->ownStatus();
  this->Socket.sendAck(From, Message.Sequence, this->Round);
  this->Hints.mention(From, this->Time.monotonicNow());
  this->applyContent(From, Message.Content);
}

void FleetMember::onAck(const common::Address &From,
                        const ProbeAckMessage &Message) {
  const common::MonotonicTime Now = this->Time.monotonicNow();
  if (const auto Length =
          this->Pauses.beforeMessage(Now, this->Time.wallNow())) {
    this->endPause(*Length);
    return;
  }
  const auto SentAt = this->Probes.matchAck(Message.Sequence, From, Now);
  const membership::MemberStatus &Sender = Message.Content.Sender;
  if (!SentAt || this->isOwn(Sender))
    return;
  this->Reads.notePeer(Sender.ServiceAnswerAge, *SentAt);
  this->record(this->Fleet.applyAck(Sender, From, *SentAt),
               "peer " + Sender.Vm.Value);
  this->applyContent(From, Message.Content);
  this->Sync.onStatus(From, Sender);
}

void FleetMember::applyContent(const common::Address &From,
                               const membership::Heartbeat &Content) {
  this->record(this->News.apply(From, Content, this->Time.monotonicNow()),
               "peer " + Content.Sender.Vm.Value);
  for (const membership::DrainNotice &Notice : Content.Drains)
    this->State.applyDrainNotice(Notice.Searcher, Notice.Age);
}

void FleetMember::record(const std::vector<membership::FleetEvent> &Events,
                         const std::string &Cause) {
  for (const membership::FleetEvent &Event : Events) {
    this->Audit.record(Event, Cause);
    this->News.spread(Event);
  }
  if (!Events.empty())
    this->publishPeers(this->Time.monotonicNow());
}

void FleetMember::publishPeers(common::MonotonicTime Now) {
  std::vector<routing::AddressCandidate> Peers;
  for (const membership::PeerRecord *Peer : this->Fleet.servingPeers(Now))
    Peers.push_back({Peer->Status.Vm, Peer->Status.Callers,
                     Peer->Status.FailureDomain, Peer->EvidenceAt});
  this->State.setPeers(std::move(Peers));
}

void FleetMember::readWhenDue(common::MonotonicTime Now) {
  if (const auto At = this->State.lastServiceAnswer())
    this->Reads.noteAnswer(*At);
  if (const auto Document = this->State.configuration().classes())
    this->Reads.setBudget(Document->Budget);
  if (this->Reads.takeDueRead(Now) && !this->IsReader)
    this->Role.readOnce();
}

void FleetMember::electReaders(common::MonotonicTime Now) {
  if (Now < this->NextElectionAt)
    return;
  this->NextElectionAt = Now + ElectionPeriod;
  const configuration::EntrySettings &Settings = this->State.settings();
  // Readers are elected per failure domain, so the own one is enough.
  std::vector<configuration::ReaderCandidate> Live = {
      {Settings.Vm, Settings.FailureDomain, this->State.servingState()}};
  for (const membership::PeerRecord *Peer : this->Fleet.livePeers()) {
    if (Peer->Status.FailureDomain == Settings.FailureDomain)
      Live.push_back(
          {Peer->Status.Vm, Peer->Status.FailureDomain, Peer->Status.State});
  }
  const bool IsElected =
      configuration::ReaderElection::readers(Live).contains(Settings.Vm);
  if (IsElected == this->IsReader)
    return;
  this->IsReader = IsElected;
  this->Role.setReader(IsElected);
  this->State.note("election", Settings.Vm.Value,
                   IsElected ? "reads the configuration service"
                             : "no longer reads the configuration service");
  common::logEvent(common::LogEvent::ReaderChanged,
                   "vm=" + Settings.Vm.Value +
                       " reader=" + (IsElected ? "true" : "false"));
}

} // namespace acaciacross::peering
