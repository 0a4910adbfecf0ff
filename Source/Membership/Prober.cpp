#include "Membership/Prober.h"

#include <algorithm>
#include <set>
#include <utility>

namespace acaciacross::membership {

namespace {

// Limits random draws that may return an address twice or a known one.
constexpr std::size_t MaxTries = 8;

} // namespace

// Sequence numbers start at a random value, so that acknowledgements for an
// earlier run of this VM at the same address do not match.
Prober::Prober(PeerChannel &Channel, common::RandomSource &Random)
    : Channel(Channel), Random(Random), NextSequence(Random.next() >> 1) {}

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
  const auto It = this->Pending.find(Sequence);
  if (It == this->Pending.end() || It->second.To != From)
    return std::nullopt;
  const common::MonotonicTime SentAt = It->second.SentAt;
  this->Pending.erase(It);
  return SentAt;
}

std::optional<common::MonotonicTime>
Prober::pendingSince(std::uint64_t Sequence, const common::Address &To) const {
  const auto It = this->Pending.find(Sequence);
  if (It == this->Pending.end() || It->second.To != To)
    return std::nullopt;
  return It->second.SentAt;
}

void Prober::setPlan(ProbePlan NewPlan) { this->Plan = std::move(NewPlan); }

void Prober::setDiscovering(bool IsSearching) {
  this->IsDiscovering = IsSearching;
}

void Prober::discardPending() { this->Pending.clear(); }

std::vector<common::Address> Prober::chooseTargets(const FleetTable &Fleet,
                                                   AddressHints &Hints) {
  if (Fleet.records().size() + Hints.size() <= 2 * MaxSmallFleetPeers) {
    std::set<common::Address> Candidates;
    for (const auto &[Vm, Record] : Fleet.records())
      Candidates.insert(Record.PeerAddress);
    for (const common::Address &Hint : Hints.addresses())
      Candidates.insert(Hint);
    if (Candidates.size() <= MaxSmallFleetPeers) {
      std::vector<common::Address> Targets = this->chooseRoundRobin(Candidates);
      for (const common::Address &Target : Targets)
        Hints.markTried(Target);
      return Targets;
    }
  }
  return this->chooseSample(Fleet, Hints);
}

std::vector<common::Address>
Prober::chooseRoundRobin(const std::set<common::Address> &Candidates) {
  std::vector<common::Address> Targets;
  auto Next = Candidates.upper_bound(this->LastRoundRobinTarget);
  while (Targets.size() <
         std::min(Candidates.size(), SmallFleetProbesPerRound)) {
    if (Next == Candidates.end())
      Next = Candidates.begin();
    Targets.push_back(*Next++);
  }
  if (!Targets.empty())
    this->LastRoundRobinTarget = Targets.back();
  return Targets;
}

// A starting VM probes all untried addresses first, because with a partial view
// of the fleet it would place callers on too few VMs. After that the preferred
// peers are probed first. One probe may go to a peer with an unanswered probe,
// to find out soon whether a datagram or the peer was lost, or to an address
// that never answered. The rest goes to random peers.
std::vector<common::Address> Prober::chooseSample(const FleetTable &Fleet,
                                                  AddressHints &Hints) {
  std::vector<const common::Address *> KnownPeers;
  std::vector<const common::Address *> Suspects;
  for (const auto &[Vm, Record] : Fleet.records()) {
    KnownPeers.push_back(&Record.PeerAddress);
    if (Record.UnansweredSince && !Record.IsLost)
      Suspects.push_back(&Record.PeerAddress);
  }
  std::set<common::Address> Targets;
  this->addUntried(Targets, Fleet, Hints);
  if (Targets.empty())
    this->addPreferred(Targets);
  const bool HasPlan = !this->Plan.Preferred.empty();
  const bool IsSampling =
      !HasPlan || ++this->RoundsSinceSample >= this->Plan.RoundsPerSample;
  if (IsSampling)
    this->RoundsSinceSample = 0;
  const std::size_t MaxTargets =
      HasPlan ? this->Plan.PreferredPerRound + (IsSampling ? 1 : 0)
              : LargeFleetProbesPerRound;
  if (!Suspects.empty() && Targets.size() < MaxTargets)
    Targets.insert(*Suspects[this->Random.below(Suspects.size())]);
  // Only in half of the rounds: if a round has one probe left, addresses that
  // never answer would otherwise keep known peers from being probed.
  const auto Hint = this->pickUnknownHint(Fleet, Hints);
  if (Hint && Targets.size() < MaxTargets && this->Random.below(2) == 0)
    Targets.insert(*Hint);
  for (std::size_t Try = 0;
       !KnownPeers.empty() && Targets.size() < MaxTargets && Try < MaxTries;
       ++Try)
    Targets.insert(*KnownPeers[this->Random.below(KnownPeers.size())]);
  return {Targets.begin(), Targets.end()};
}

void Prober::addUntried(std::set<common::Address> &Targets,
                        const FleetTable &Fleet, AddressHints &Hints) const {
  const std::size_t MaxTargets =
      this->IsDiscovering ? DiscoveryProbesPerRound : LargeFleetProbesPerRound;
  while (Targets.size() < MaxTargets) {
    const auto Next = Hints.takeUntried();
    if (!Next)
      return;
    if (!Fleet.knows(*Next))
      Targets.insert(*Next);
  }
}

void Prober::addPreferred(std::set<common::Address> &Targets) {
  const std::size_t Count =
      std::min(this->Plan.PreferredPerRound, this->Plan.Preferred.size());
  for (std::size_t I = 0; I < Count; ++I)
    Targets.insert(this->Plan.Preferred[this->NextPreferred++ %
                                        this->Plan.Preferred.size()]);
}

std::optional<common::Address>
Prober::pickUnknownHint(const FleetTable &Fleet, const AddressHints &Hints) {
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
         Now - this->Pending.begin()->second.SentAt >= LossTimeout)
    this->Pending.erase(this->Pending.begin());
}

} // namespace acaciacross::membership
