#include "Routing/PowerOfTwoSelector.h"

#include <algorithm>

namespace acaciacross::routing {

namespace {

// A replica in another zone is preferred only when it has less than half the
// load of the local one: its replies take about 8 ms longer, and links between
// zones cost more.
constexpr float OtherZonePenalty = 2.0F;

// A share of 0 would divide by zero.
constexpr double SmallestShare = 0.01;

// Random draws find a usable replica in constant time as long as most are
// usable; after this many misses the list is scanned. The longer the list, the
// more draws are cheaper than a scan.
constexpr std::size_t FewestDraws = 4;
constexpr std::size_t MostDraws = 16;
constexpr std::size_t ReplicasPerDraw = 8;

// An attempt that a searcher fails at once makes it look idle, so that load
// alone would send it ever more. Four failures in a row pass the limit.
constexpr float FailureWeight = 0.2F;
constexpr float FailureLimit = 0.5F;

// A cancelled attempt was slower than another replica or than the class's
// target. It counts less than a failure, but many in a row show a searcher that
// hangs.
constexpr float CancelledFailure = 0.7F;

// A failing searcher still gets this part of the choices, which shows when it
// works again.
constexpr std::uint64_t ProbeOneIn = 50;

float failureOf(query::AttemptStatus Status) {
  switch (Status) {
  case query::AttemptStatus::NotSent:
  case query::AttemptStatus::Lost:
  case query::AttemptStatus::ExpiredBeforeStart:
    return 1.0F;
  case query::AttemptStatus::Cancelled:
    return CancelledFailure;
  // Load is dealt with by what is in flight, and a snapshot or shard that is
  // gone says nothing of other snapshots.
  case query::AttemptStatus::Answered:
  case query::AttemptStatus::Shed:
  case query::AttemptStatus::SnapshotGone:
  case query::AttemptStatus::ShardGone:
    return 0.0F;
  }
  return 0.0F;
}

float costPerAttempt(const query::SearcherView &Searcher) {
  const double Capacity = std::max<std::uint32_t>(Searcher.Slots, 1) *
                          std::max(Searcher.Share, SmallestShare);
  const float Penalty = Searcher.SameZone ? 1.0F : OtherZonePenalty;
  return Penalty / static_cast<float>(Capacity);
}

} // namespace

PowerOfTwoSelector::PowerOfTwoSelector(common::RandomSource &Random)
    : Random(Random) {}

void PowerOfTwoSelector::updateView(const query::ServiceView &Newest) {
  for (SearcherLoad &Load : this->Loads)
    Load.Quota = 0;
  for (const query::SearcherView &Searcher : Newest.Searchers) {
    SearcherLoad &Load = this->loadOf(Searcher.Index);
    const bool IsUsable =
        Searcher.Availability == query::SearcherAvailability::Usable;
    Load.Quota = IsUsable ? Searcher.ConnectionQuota : 0;
    Load.CostPerAttempt = costPerAttempt(Searcher);
  }
}

std::optional<std::uint32_t>
PowerOfTwoSelector::select(const query::ServiceView &Service,
                           const query::ShardView &Shard, Positions Excluded) {
  const bool IsProbe = this->Random.below(ProbeOneIn) == 0;
  if (!IsProbe) {
    this->AvoidsFailing = true;
    const auto Chosen = this->chooseOfTwo(Service, Shard, Excluded);
    // A healthy replica at its quota is free again before the retry of an
    // attempt that a failing one would lose.
    if (Chosen || this->isHealthyOneBusy(Service, Shard, Excluded))
      return Chosen;
  }
  this->AvoidsFailing = false;
  return this->chooseOfTwo(Service, Shard, Excluded);
}

bool PowerOfTwoSelector::isHealthyOneBusy(const query::ServiceView &Service,
                                          const query::ShardView &Shard,
                                          Positions Excluded) const {
  return std::any_of(
      Shard.Replicas.begin(), Shard.Replicas.end(), [&](std::uint32_t Each) {
        const std::uint32_t Index = Service.Searchers[Each].Index.Value;
        if (Index >= this->Loads.size() || this->Loads[Index].Quota == 0)
          return false;
        return this->Loads[Index].FailureRate <= FailureLimit &&
               std::find(Excluded.begin(), Excluded.end(), Each) ==
                   Excluded.end();
      });
}

std::optional<std::uint32_t>
PowerOfTwoSelector::chooseOfTwo(const query::ServiceView &Service,
                                const query::ShardView &Shard,
                                Positions Excluded) {
  const auto First = this->pick(Service, Shard, Excluded, std::nullopt);
  if (!First)
    return std::nullopt;
  const auto Second = this->pick(Service, Shard, Excluded, First);
  if (!Second)
    return First;
  // On equal cost the first stays; it is a random one.
  const bool IsSecondBetter =
      this->costOf(Service, *Second) < this->costOf(Service, *First);
  return IsSecondBetter ? Second : First;
}

void PowerOfTwoSelector::onAttemptStarted(common::SearcherIndex Searcher) {
  ++this->loadOf(Searcher).InFlight;
}

void PowerOfTwoSelector::onAttemptEnded(common::SearcherIndex Searcher,
                                        query::AttemptStatus Status) {
  SearcherLoad &Load = this->loadOf(Searcher);
  Load.FailureRate += FailureWeight * (failureOf(Status) - Load.FailureRate);
  if (Load.InFlight > 0)
    --Load.InFlight;
}

void PowerOfTwoSelector::setHeld(common::SearcherIndex Searcher,
                                 std::uint32_t Count) {
  this->loadOf(Searcher).Held = Count;
}

std::uint32_t
PowerOfTwoSelector::inFlight(common::SearcherIndex Searcher) const {
  return Searcher.Value < this->Loads.size()
             ? this->Loads[Searcher.Value].InFlight
             : 0;
}

SearcherLoad &PowerOfTwoSelector::loadOf(common::SearcherIndex Searcher) {
  if (Searcher.Value >= this->Loads.size())
    this->Loads.resize(Searcher.Value + std::size_t{1});
  return this->Loads[Searcher.Value];
}

bool PowerOfTwoSelector::isEligible(const query::ServiceView &Service,
                                    std::uint32_t Position,
                                    Positions Excluded) const {
  const std::uint32_t Index = Service.Searchers[Position].Index.Value;
  if (Index >= this->Loads.size())
    return false;
  const SearcherLoad &Load = this->Loads[Index];
  if (Load.InFlight + Load.Held >= Load.Quota)
    return false;
  if (this->AvoidsFailing && Load.FailureRate > FailureLimit)
    return false;
  return std::find(Excluded.begin(), Excluded.end(), Position) ==
         Excluded.end();
}

float PowerOfTwoSelector::costOf(const query::ServiceView &Service,
                                 std::uint32_t Position) const {
  const SearcherLoad &Load =
      this->Loads[Service.Searchers[Position].Index.Value];
  return static_cast<float>(Load.InFlight + 1) * Load.CostPerAttempt;
}

std::optional<std::uint32_t>
PowerOfTwoSelector::pick(const query::ServiceView &Service,
                         const query::ShardView &Shard, Positions Excluded,
                         std::optional<std::uint32_t> Other) {
  if (Shard.Replicas.empty())
    return std::nullopt;
  const std::size_t Draws = std::clamp(Shard.Replicas.size() / ReplicasPerDraw,
                                       FewestDraws, MostDraws);
  for (std::size_t Draw = 0; Draw < Draws; ++Draw) {
    const std::uint32_t Position =
        Shard.Replicas[this->Random.below(Shard.Replicas.size())];
    if (Position != Other && this->isEligible(Service, Position, Excluded))
      return Position;
  }
  return this->pickByScan(Service, Shard, Excluded, Other);
}

// Reservoir sampling: every eligible replica is as likely as the others.
std::optional<std::uint32_t> PowerOfTwoSelector::pickByScan(
    const query::ServiceView &Service, const query::ShardView &Shard,
    Positions Excluded, std::optional<std::uint32_t> Other) {
  std::optional<std::uint32_t> Picked;
  std::uint64_t Seen = 0;
  for (const std::uint32_t Position : Shard.Replicas) {
    if (Position == Other || !this->isEligible(Service, Position, Excluded))
      continue;
    ++Seen;
    if (this->Random.below(Seen) == 0)
      Picked = Position;
  }
  return Picked;
}

} // namespace acaciacross::routing
