#include "Membership/FleetTable.h"

#include <algorithm>
#include <utility>

namespace acaciacross::membership {

namespace {

// Messages are delayed by at most some seconds, so only a few earlier runs
// matter.
constexpr std::size_t MaxRetiredIncarnations = 4;
// A duplicate id that persists across restarts does not need more events than
// this.
constexpr std::size_t MaxDuplicateRuns = 16;

FleetEvent eventOf(FleetEventKind Kind, const MemberStatus &Status) {
  return FleetEvent{Kind, Status.Vm, Status.Incarnation};
}

} // namespace

FleetTable::FleetTable(common::VmId OwnId, std::size_t MaxRecords)
    : OwnId(std::move(OwnId)), Capacity(MaxRecords) {}

std::vector<FleetEvent> FleetTable::applyAck(const MemberStatus &Status,
                                             const common::Address &From,
                                             common::MonotonicTime SentAt) {
  if (Status.Vm == this->OwnId)
    return this->reportDuplicate(Status);
  const auto It = this->Records.find(Status.Vm);
  if (It == this->Records.end())
    return this->insert(Status, From, SentAt);
  return this->updateRecord(It->second, Status, From, SentAt);
}

std::vector<FleetEvent> FleetTable::insert(const MemberStatus &Status,
                                           const common::Address &From,
                                           common::MonotonicTime SentAt) {
  if (!this->ensureCapacity())
    return {};
  PeerRecord Record;
  Record.Status = Status;
  Record.PeerAddress = From;
  Record.EvidenceAt = SentAt;
  Record.LossTimerStart = SentAt;
  Record.RunFirstSeenAt = SentAt;
  std::vector<FleetEvent> Events = this->takeAddress(Status.Vm, From);
  this->Records.emplace(Status.Vm, std::move(Record));
  Events.push_back(eventOf(FleetEventKind::Joined, Status));
  if (Status.State == ServingState::Leaving)
    Events.push_back(eventOf(FleetEventKind::Leaving, Status));
  return Events;
}

// Incarnations are random and wall clocks differ between VMs, so neither of
// them orders two runs of one VM. The send times of this VM's own probes do:
// the run that answered a later probe is the later run. Only probes that are
// reordered on the network break this order; in that case the list of retired
// runs prevents the return of an old run.
std::vector<FleetEvent> FleetTable::updateRecord(PeerRecord &Record,
                                                 const MemberStatus &Status,
                                                 const common::Address &From,
                                                 common::MonotonicTime SentAt) {
  const bool IsSameIncarnation =
      Record.Status.Incarnation == Status.Incarnation;
  if (!IsSameIncarnation &&
      std::ranges::count(Record.RetiredIncarnations, Status.Incarnation) > 0) {
    // A retired run that still answers this long after its replacement is
    // alive, so two VMs have the same id.
    if (SentAt - Record.RunFirstSeenAt >= LossTimeout)
      return this->reportDuplicate(Status);
    return {};
  }
  const bool WasLeaving =
      IsSameIncarnation && Record.Status.State == ServingState::Leaving;
  const bool IsLeaving = Status.State == ServingState::Leaving;
  if (SentAt <= Record.EvidenceAt) {
    if (!IsSameIncarnation || !IsLeaving || WasLeaving)
      return {};
    Record.Status.State = ServingState::Leaving;
    return {eventOf(FleetEventKind::Leaving, Status)};
  }
  std::vector<FleetEvent> Events;
  if (Record.PeerAddress != From)
    Events = this->takeAddress(Status.Vm, From);
  if (!IsSameIncarnation) {
    this->retireRun(Record, Status);
    Record.RunFirstSeenAt = SentAt;
    Events.push_back(eventOf(FleetEventKind::Restarted, Status));
  } else if (Record.IsLost) {
    Events.push_back(eventOf(FleetEventKind::Joined, Status));
  }
  Record.Status = Status;
  // A run that has reported "leaving" never serves again; a delayed message
  // with "serving" must not change that.
  if (WasLeaving)
    Record.Status.State = ServingState::Leaving;
  else if (IsLeaving)
    Events.push_back(eventOf(FleetEventKind::Leaving, Status));
  Record.PeerAddress = From;
  Record.EvidenceAt = SentAt;
  Record.LossTimerStart = SentAt;
  Record.IsConfirmed = true;
  Record.UnansweredSince.reset();
  Record.UnansweredCount = 0;
  Record.IsLost = false;
  return Events;
}

void FleetTable::retireRun(PeerRecord &Record, const MemberStatus &Status) {
  Record.RetiredIncarnations.push_back(Record.Status.Incarnation);
  if (Record.RetiredIncarnations.size() > MaxRetiredIncarnations)
    Record.RetiredIncarnations.erase(Record.RetiredIncarnations.begin());
  Record.Status = Status;
}

std::vector<FleetEvent>
FleetTable::reportDuplicate(const MemberStatus &Status) {
  if (this->ReportedDuplicates.size() >= MaxDuplicateRuns ||
      !this->ReportedDuplicates.insert(Status.Incarnation).second)
    return {};
  return {eventOf(FleetEventKind::DuplicateId, Status)};
}

std::vector<FleetEvent> FleetTable::applyUpdate(const MemberUpdate &Update) {
  if (Update.State != ServingState::Leaving)
    return {};
  const auto It = this->Records.find(Update.Vm);
  if (It == this->Records.end())
    return {};
  MemberStatus &Status = It->second.Status;
  if (Status.Incarnation != Update.Incarnation ||
      Status.State == ServingState::Leaving)
    return {};
  Status.State = ServingState::Leaving;
  return {eventOf(FleetEventKind::Leaving, Status)};
}

std::vector<FleetEvent> FleetTable::applyEvidence(const PeerEvidence &Evidence,
                                                  common::MonotonicTime At) {
  const auto It = this->Records.find(Evidence.Vm);
  if (It == this->Records.end())
    return {};
  PeerRecord &Record = It->second;
  const bool IsUsable = Record.Status.Incarnation == Evidence.Incarnation &&
                        Record.Status.State != ServingState::Leaving &&
                        At > Record.EvidenceAt && At >= Record.LossTimerStart;
  if (!IsUsable)
    return {};
  Record.Status.State = ServingState::Serving;
  Record.Status.BusyPerMille = Evidence.BusyPerMille;
  Record.EvidenceAt = At;
  Record.LossTimerStart = At;
  Record.IsConfirmed = true;
  Record.UnansweredSince.reset();
  Record.UnansweredCount = 0;
  if (!std::exchange(Record.IsLost, false))
    return {};
  return {eventOf(FleetEventKind::Joined, Record.Status)};
}

void FleetTable::markProbed(const common::Address &To,
                            common::MonotonicTime Now) {
  const auto It = this->VmByAddress.find(To);
  if (It == this->VmByAddress.end())
    return;
  PeerRecord &Record = this->Records.at(It->second);
  if (!Record.UnansweredSince)
    Record.UnansweredSince = Now;
  ++Record.UnansweredCount;
}

std::vector<FleetEvent> FleetTable::expire(common::MonotonicTime Now) {
  std::vector<FleetEvent> Events;
  for (auto &[Vm, Record] : this->Records) {
    if (Record.IsLost || !Record.UnansweredSince)
      continue;
    if (Now - Record.LossTimerStart < LossTimeout ||
        Now - *Record.UnansweredSince < UnansweredTimeout ||
        Record.UnansweredCount < MinUnansweredProbes)
      continue;
    Record.IsLost = true;
    Events.push_back(eventOf(FleetEventKind::Lost, Record.Status));
  }
  std::vector<common::VmId> Forgotten;
  for (const auto &[Vm, Record] : this->Records) {
    if (Record.IsLost && Now - Record.LossTimerStart >= ForgetTimeout)
      Forgotten.push_back(Vm);
  }
  for (const common::VmId &Vm : Forgotten)
    this->erase(Vm);
  return Events;
}

void FleetTable::discardEvidence(common::MonotonicTime PauseEnd) {
  for (auto &[Vm, Record] : this->Records) {
    Record.IsConfirmed = false;
    Record.LossTimerStart = PauseEnd;
    Record.UnansweredSince.reset();
    Record.UnansweredCount = 0;
  }
}

std::vector<const PeerRecord *>
FleetTable::servingPeers(common::MonotonicTime Now) const {
  std::vector<const PeerRecord *> Peers;
  for (const auto &[Vm, Record] : this->Records) {
    if (Record.IsConfirmed && !Record.IsLost &&
        Record.Status.State == ServingState::Serving &&
        Now - Record.EvidenceAt <= MaxEvidenceAge)
      Peers.push_back(&Record);
  }
  return Peers;
}

std::vector<const PeerRecord *> FleetTable::livePeers() const {
  std::vector<const PeerRecord *> Peers;
  for (const auto &[Vm, Record] : this->Records) {
    if (Record.IsConfirmed && !Record.IsLost)
      Peers.push_back(&Record);
  }
  return Peers;
}

const std::map<common::VmId, PeerRecord> &FleetTable::records() const {
  return this->Records;
}

const PeerRecord *FleetTable::find(const common::VmId &Vm) const {
  const auto It = this->Records.find(Vm);
  return It == this->Records.end() ? nullptr : &It->second;
}

bool FleetTable::knows(const common::Address &PeerAddress) const {
  return this->VmByAddress.contains(PeerAddress);
}

// A VM that answers at the address of another peer has replaced it there. The
// other peer can no longer be probed and would never be detected as lost.
std::vector<FleetEvent> FleetTable::takeAddress(const common::VmId &Vm,
                                                const common::Address &From) {
  std::vector<FleetEvent> Events;
  const auto [Entry, IsNew] = this->VmByAddress.try_emplace(From, Vm);
  if (!IsNew && Entry->second != Vm) {
    PeerRecord &Replaced = this->Records.at(Entry->second);
    if (!Replaced.IsLost)
      Events.push_back(eventOf(FleetEventKind::Lost, Replaced.Status));
    Replaced.IsLost = true;
    Entry->second = Vm;
  }
  const auto Record = this->Records.find(Vm);
  if (Record == this->Records.end() || Record->second.PeerAddress == From)
    return Events;
  const auto OldEntry = this->VmByAddress.find(Record->second.PeerAddress);
  if (OldEntry != this->VmByAddress.end() && OldEntry->second == Vm)
    this->VmByAddress.erase(OldEntry);
  return Events;
}

void FleetTable::erase(const common::VmId &Vm) {
  const auto Record = this->Records.find(Vm);
  const auto Entry = this->VmByAddress.find(Record->second.PeerAddress);
  if (Entry != this->VmByAddress.end() && Entry->second == Vm)
    this->VmByAddress.erase(Entry);
  this->Records.erase(Record);
}

bool FleetTable::ensureCapacity() {
  if (this->Records.size() < this->Capacity)
    return true;
  const auto Lost = std::ranges::find_if(
      this->Records, [](const auto &Entry) { return Entry.second.IsLost; });
  if (Lost == this->Records.end())
    return false;
  this->erase(common::VmId(Lost->first));
  return true;
}

} // namespace acaciacross::membership
