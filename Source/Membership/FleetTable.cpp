#include "Membership/FleetTable.h"

#include <algorithm>
#include <utility>

namespace acaciacross::membership {

namespace {

// Messages are delayed by seconds at most, so few earlier runs matter.
constexpr std::size_t MaxRetiredRuns = 4;
// A fault that goes on through restarts need not be told more often.
constexpr std::size_t MaxDuplicateRuns = 16;

FleetEvent eventOf(FleetEventKind Kind, const MemberStatus &Status) {
  return FleetEvent{Kind, Status.Vm, Status.Run};
}

} // namespace

FleetTable::FleetTable(common::VmId OwnId, std::size_t MaxRecords)
    : Self(std::move(OwnId)), Capacity(MaxRecords) {}

std::vector<FleetEvent> FleetTable::applyAck(const MemberStatus &Status,
                                             const common::Address &From,
                                             common::MonotonicTime SentAt) {
  if (Status.Vm == this->Self)
    return this->noteDuplicate(Status);
  const auto Found = this->Records.find(Status.Vm);
  if (Found == this->Records.end())
    return this->insert(Status, From, SentAt);
  return this->refresh(Found->second, Status, From, SentAt);
}

std::vector<FleetEvent> FleetTable::insert(const MemberStatus &Status,
                                           const common::Address &From,
                                           common::MonotonicTime SentAt) {
  if (!this->makeRoom())
    return {};
  PeerRecord Record;
  Record.Status = Status;
  Record.Peers = From;
  Record.EvidenceAt = SentAt;
  Record.QuietSince = SentAt;
  Record.RunSince = SentAt;
  std::vector<FleetEvent> Events = this->takeAddress(Status.Vm, From);
  this->Records.emplace(Status.Vm, std::move(Record));
  Events.push_back(eventOf(FleetEventKind::Joined, Status));
  if (Status.State == ServingState::Leaving)
    Events.push_back(eventOf(FleetEventKind::Leaving, Status));
  return Events;
}

// Incarnations are random and wall clocks differ between VMs, so neither orders
// two runs of one VM. The send times of this VM's own probes do: a run that
// answered a later probe is the later one. Only a probe that was overtaken on
// the way breaks that order, and then the list of retired runs keeps an old run
// from coming back.
std::vector<FleetEvent> FleetTable::refresh(PeerRecord &Record,
                                            const MemberStatus &Status,
                                            const common::Address &From,
                                            common::MonotonicTime SentAt) {
  const bool IsSameRun = Record.Status.Run == Status.Run;
  if (!IsSameRun && std::ranges::count(Record.Retired, Status.Run) > 0) {
    // A run that still answers this long after its replacement did is alive.
    if (SentAt - Record.RunSince >= LossLimit)
      return this->noteDuplicate(Status);
    return {};
  }
  const bool WasLeaving =
      IsSameRun && Record.Status.State == ServingState::Leaving;
  const bool IsLeaving = Status.State == ServingState::Leaving;
  if (SentAt <= Record.EvidenceAt) {
    if (!IsSameRun || !IsLeaving || WasLeaving)
      return {};
    Record.Status.State = ServingState::Leaving;
    return {eventOf(FleetEventKind::Leaving, Status)};
  }
  std::vector<FleetEvent> Events;
  if (Record.Peers != From)
    Events = this->takeAddress(Status.Vm, From);
  if (!IsSameRun) {
    this->restart(Record, Status);
    Record.RunSince = SentAt;
    Events.push_back(eventOf(FleetEventKind::Restarted, Status));
  } else if (Record.Lost) {
    Events.push_back(eventOf(FleetEventKind::Joined, Status));
  }
  Record.Status = Status;
  // A run that once said "leaving" never serves again; an overtaken message
  // that says "serving" must not undo it.
  if (WasLeaving)
    Record.Status.State = ServingState::Leaving;
  else if (IsLeaving)
    Events.push_back(eventOf(FleetEventKind::Leaving, Status));
  Record.Peers = From;
  Record.EvidenceAt = SentAt;
  Record.QuietSince = SentAt;
  Record.Confirmed = true;
  Record.UnansweredSince.reset();
  Record.Unanswered = 0;
  Record.Lost = false;
  return Events;
}

void FleetTable::restart(PeerRecord &Record, const MemberStatus &Status) {
  Record.Retired.push_back(Record.Status.Run);
  if (Record.Retired.size() > MaxRetiredRuns)
    Record.Retired.erase(Record.Retired.begin());
  Record.Status = Status;
}

std::vector<FleetEvent> FleetTable::noteDuplicate(const MemberStatus &Status) {
  if (this->Duplicates.size() >= MaxDuplicateRuns ||
      !this->Duplicates.insert(Status.Run).second)
    return {};
  return {eventOf(FleetEventKind::DuplicateId, Status)};
}

std::vector<FleetEvent> FleetTable::applyUpdate(const MemberUpdate &Update) {
  if (Update.State != ServingState::Leaving)
    return {};
  const auto Found = this->Records.find(Update.Vm);
  if (Found == this->Records.end())
    return {};
  MemberStatus &Status = Found->second.Status;
  if (Status.Run != Update.Run || Status.State == ServingState::Leaving)
    return {};
  Status.State = ServingState::Leaving;
  return {eventOf(FleetEventKind::Leaving, Status)};
}

void FleetTable::markProbed(const common::Address &To,
                            common::MonotonicTime Now) {
  const auto Found = this->ByAddress.find(To);
  if (Found == this->ByAddress.end())
    return;
  PeerRecord &Record = this->Records.at(Found->second);
  if (!Record.UnansweredSince)
    Record.UnansweredSince = Now;
  ++Record.Unanswered;
}

std::vector<FleetEvent> FleetTable::expire(common::MonotonicTime Now) {
  std::vector<FleetEvent> Events;
  for (auto &[Vm, Record] : this->Records) {
    if (Record.Lost || !Record.UnansweredSince)
      continue;
    if (Now - Record.QuietSince < LossLimit ||
        Now - *Record.UnansweredSince < UnansweredLimit ||
        Record.Unanswered < UnansweredProbes)
      continue;
    Record.Lost = true;
    Events.push_back(eventOf(FleetEventKind::Lost, Record.Status));
  }
  std::vector<common::VmId> Forgotten;
  for (const auto &[Vm, Record] : this->Records) {
    if (Record.Lost && Now - Record.QuietSince >= ForgetLimit)
      Forgotten.push_back(Vm);
  }
  for (const common::VmId &Vm : Forgotten)
    this->erase(Vm);
  return Events;
}

void FleetTable::discardEvidence(common::MonotonicTime PauseEnd) {
  for (auto &[Vm, Record] : this->Records) {
    Record.Confirmed = false;
    Record.QuietSince = PauseEnd;
    Record.UnansweredSince.reset();
    Record.Unanswered = 0;
  }
}

std::vector<const PeerRecord *>
FleetTable::servingPeers(common::MonotonicTime Now) const {
  std::vector<const PeerRecord *> Peers;
  for (const auto &[Vm, Record] : this->Records) {
    if (Record.Confirmed && !Record.Lost &&
        Record.Status.State == ServingState::Serving &&
        Now - Record.EvidenceAt <= EvidenceLimit)
      Peers.push_back(&Record);
  }
  return Peers;
}

std::vector<const PeerRecord *> FleetTable::livePeers() const {
  std::vector<const PeerRecord *> Peers;
  for (const auto &[Vm, Record] : this->Records) {
    if (Record.Confirmed && !Record.Lost)
      Peers.push_back(&Record);
  }
  return Peers;
}

const std::map<common::VmId, PeerRecord> &FleetTable::records() const {
  return this->Records;
}

const PeerRecord *FleetTable::find(const common::VmId &Vm) const {
  const auto Found = this->Records.find(Vm);
  return Found == this->Records.end() ? nullptr : &Found->second;
}

bool FleetTable::knows(const common::Address &Peers) const {
  return this->ByAddress.contains(Peers);
}

// A VM that answers at the address of another has taken its place there, so the
// other one can no longer be probed and would never be found lost.
std::vector<FleetEvent> FleetTable::takeAddress(const common::VmId &Vm,
                                                const common::Address &From) {
  std::vector<FleetEvent> Events;
  const auto [Entry, IsNew] = this->ByAddress.try_emplace(From, Vm);
  if (!IsNew && Entry->second != Vm) {
    PeerRecord &Former = this->Records.at(Entry->second);
    if (!Former.Lost)
      Events.push_back(eventOf(FleetEventKind::Lost, Former.Status));
    Former.Lost = true;
    Entry->second = Vm;
  }
  const auto Own = this->Records.find(Vm);
  if (Own == this->Records.end() || Own->second.Peers == From)
    return Events;
  const auto Before = this->ByAddress.find(Own->second.Peers);
  if (Before != this->ByAddress.end() && Before->second == Vm)
    this->ByAddress.erase(Before);
  return Events;
}

void FleetTable::erase(const common::VmId &Vm) {
  const auto Record = this->Records.find(Vm);
  const auto Entry = this->ByAddress.find(Record->second.Peers);
  if (Entry != this->ByAddress.end() && Entry->second == Vm)
    this->ByAddress.erase(Entry);
  this->Records.erase(Record);
}

bool FleetTable::makeRoom() {
  if (this->Records.size() < this->Capacity)
    return true;
  const auto Lost = std::ranges::find_if(
      this->Records, [](const auto &Entry) { return Entry.second.Lost; });
  if (Lost == this->Records.end())
    return false;
  this->erase(common::VmId(Lost->first));
  return true;
}

} // namespace acaciacross::membership
