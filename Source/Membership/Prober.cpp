#include "Membership/Prober.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace acaciacross::membership {

namespace {

// Share of a round for peers that left a probe unanswered, so that one lost
// datagram does not make a peer of a large fleet lost; and for addresses that
// never answered.
constexpr std::size_t MaxSuspectsPerRound = 4;
constexpr std::size_t MaxHintsPerRound = 4;

void append(std::vector<common::Address> &Targets,
            const std::vector<common::Address> &More) {
  for (const common::Address &Peer : More) {
    if (std::ranges::count(Targets, Peer) == 0)
      Targets.push_back(Peer);
  }
}

} // namespace

// Sequence numbers start at random so that acknowledgements meant for an
// earlier run of this VM at the same address match nothing.
Prober::Prober(PeerChannel &ProbeChannel, common::RandomSource &RandomNumbers)
    : Channel(ProbeChannel), Random(RandomNumbers),
      NextSequence(RandomNumbers.next() >> 1) {}

void Prober::tick(common::MonotonicTime Now, FleetTable &Fleet,
                  const AddressHints &Hints, const Heartbeat &Content) {
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

void Prober::discardPending() { this->Pending.clear(); }

std::vector<common::Address> Prober::chooseTargets(const FleetTable &Fleet,
                                                   const AddressHints &Hints) {
  std::set<common::Address> Known;
  std::vector<common::Address> Suspects;
  for (const auto &[Vm, Record] : Fleet.records()) {
    if (!Known.insert(Record.Peers).second)
      continue;
    if (Record.UnansweredSince && !Record.Lost)
      Suspects.push_back(Record.Peers);
  }
  std::vector<common::Address> Unknown;
  for (const common::Address &Hint : Hints.addresses()) {
    if (!Known.contains(Hint))
      Unknown.push_back(Hint);
  }
  std::vector<common::Address> All(Known.begin(), Known.end());
  if (All.size() + Unknown.size() <= MaxProbesPerRound) {
    append(All, Unknown);
    return All;
  }
  std::vector<common::Address> Targets =
      this->sample(std::move(Suspects), MaxSuspectsPerRound);
  append(Targets, this->sample(std::move(Unknown), MaxHintsPerRound));
  append(Targets, this->sample(std::move(All), MaxProbesPerRound));
  if (Targets.size() > MaxProbesPerRound)
    Targets.resize(MaxProbesPerRound);
  return Targets;
}

std::vector<common::Address> Prober::sample(std::vector<common::Address> Pool,
                                            std::size_t Count) {
  const std::size_t Taken = std::min(Count, Pool.size());
  for (std::size_t Position = 0; Position < Taken; ++Position) {
    const std::size_t Other =
        Position + this->Random.below(Pool.size() - Position);
    std::swap(Pool[Position], Pool[Other]);
  }
  Pool.resize(Taken);
  return Pool;
}

void Prober::expire(common::MonotonicTime Now) {
  while (!this->Pending.empty() &&
         Now - this->Pending.begin()->second.SentAt >= LossLimit)
    this->Pending.erase(this->Pending.begin());
}

} // namespace acaciacross::membership
