#include "Membership/Prober.h"

#include <algorithm>
#include <set>
#include <utility>

namespace acaciacross::membership {

namespace {

// Random picks that may hit an address twice or a known one.
constexpr std::size_t MaxTries = 8;

} // namespace

// Sequence numbers start at random so that acknowledgements meant for an
// earlier run of this VM at the same address match nothing.
Prober::Prober(PeerChannel &ProbeChannel, common::RandomSource &RandomNumbers)
    : Channel(ProbeChannel), Random(RandomNumbers),
      NextSequence(RandomNumbers.next() >> 1) {}

void Prober::tick(common::MonotonicTime Now, FleetTable &Fleet,
                  AddressHints &Hints, const Heartbeat &Content) {
  this->expire(Now);
  for (const common::Address &Target : this->chooseTargets(Fleet, Hints)) {
    const std::uint64_t Sequence = this->NextSequence++;
    this->Pending.emplace(Sequence, PendingProbe{Target, Now});
    Fleet.markProbed(Target, Now);
    this->Channel.sendProbe(Target, Sequence, Content);
  }
}

std::optional<common::MonotonicTime>
Prober::matchAck(std::uint64_t Sequence, const common::Address &From,
                 common::MonotonicTime Now) {
  this->expire(Now);
  const auto Found = this->Pending.find(Sequence);
  if (Found == this->Pending.end() || Found->second.To != From)
    return std::nullopt;
  const common::MonotonicTime SentAt = Found->second.SentAt;
  this->Pending.erase(Found);
  return SentAt;
}

void Prober::setPreferred(std::vector<common::Address> Peers) {
  this->Preferred = std::move(Peers);
}

void Prober::discardPending() { this->Pending.clear(); }

std::vector<common::Address> Prober::chooseTargets(const FleetTable &Fleet,
                                                   AddressHints &Hints) {
  if (Fleet.records().size() + Hints.size() <= 2 * SmallFleetPeers) {
    std::set<common::Address> All;
    for (const auto &[Vm, Record] : Fleet.records())
      All.insert(Record.Peers);
    for (const common::Address &Hint : Hints.addresses())
      All.insert(Hint);
    if (All.size() <= SmallFleetPeers) {
      while (Hints.takeUntried())
        ;
      return this->inTurn(All);
    }
  }
  return this->sample(Fleet, Hints);
}

std::vector<common::Address>
Prober::inTurn(const std::set<common::Address> &All) {
  std::vector<common::Address> Targets;
  auto Next = All.upper_bound(this->LastTarget);
  while (Targets.size() < std::min(All.size(), SmallFleetRound)) {
    if (Next == All.end())
      Next = All.begin();
    Targets.push_back(*Next++);
  }
  if (!Targets.empty())
    this->LastTarget = Targets.back();
  return Targets;
}

// A VM that starts learns the fleet first: until then it would place callers on
// a few of the VMs. After that the preferred peers come first. One place may go
// to a peer that left a probe unanswered, so that it is soon known whether a
// datagram or the peer was lost, or to an address that never answered; random
// peers take the rest.
std::vector<common::Address> Prober::sample(const FleetTable &Fleet,
                                            AddressHints &Hints) {
  std::vector<const common::Address *> Known;
  std::vector<const common::Address *> Suspects;
  for (const auto &[Vm, Record] : Fleet.records()) {
    Known.push_back(&Record.Peers);
    if (Record.UnansweredSince && !Record.Lost)
      Suspects.push_back(&Record.Peers);
  }
  std::set<common::Address> Targets;
  addUntried(Targets, Fleet, Hints);
  if (Targets.empty())
    this->addPreferred(Targets);
  const std::size_t Most = this->Preferred.empty()
                               ? LargeFleetRound
                               : PreferredPerRound + SampledPeers;
  if (!Suspects.empty() && Targets.size() < Most)
    Targets.insert(*Suspects[this->Random.below(Suspects.size())]);
  // Not in each round, or addresses that never answer would keep known peers
  // from being probed when there is one place only.
  const auto Hint = this->pickUnknown(Fleet, Hints);
  if (Hint && Targets.size() < Most && this->Random.below(2) == 0)
    Targets.insert(*Hint);
  for (std::size_t Try = 0;
       !Known.empty() && Targets.size() < Most && Try < MaxTries; ++Try)
    Targets.insert(*Known[this->Random.below(Known.size())]);
  return {Targets.begin(), Targets.end()};
}

void Prober::addUntried(std::set<common::Address> &Targets,
                        const FleetTable &Fleet, AddressHints &Hints) {
  while (Targets.size() < LargeFleetRound) {
    const auto Next = Hints.takeUntried();
    if (!Next)
      return;
    if (!Fleet.knows(*Next))
      Targets.insert(*Next);
  }
}

void Prober::addPreferred(std::set<common::Address> &Targets) {
  const std::size_t Count = std::min(PreferredPerRound, this->Preferred.size());
  for (std::size_t I = 0; I < Count; ++I)
    Targets.insert(
        this->Preferred[this->NextPreferred++ % this->Preferred.size()]);
}

std::optional<common::Address> Prober::pickUnknown(const FleetTable &Fleet,
                                                   const AddressHints &Hints) {
  if (Hints.size() == 0)
    return std::nullopt;
  for (std::size_t Try = 0; Try < MaxTries; ++Try) {
    const common::Address &Hint = Hints.at(this->Random.below(Hints.size()));
    if (!Fleet.knows(Hint))
      return Hint;
  }
  return std::nullopt;
}

void Prober::expire(common::MonotonicTime Now) {
  while (!this->Pending.empty() &&
         Now - this->Pending.begin()->second.SentAt >= LossLimit)
    this->Pending.erase(this->Pending.begin());
}

} // namespace acaciacross::membership
