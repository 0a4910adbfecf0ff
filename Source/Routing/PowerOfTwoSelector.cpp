#include "Routing/PowerOfTwoSelector.h"

#include <algorithm>

namespace acaciacross::routing {

namespace {

// A replica in another zone is selected only if it has less than half the load
// of the local one. Its replies take about 8 ms longer, and traffic between
// zones costs more.
constexpr float OtherZonePenalty = 2.0F;

// Avoids a division by zero for a share of 0.
constexpr double MinShare = 0.01;

// Random draws find a usable replica in constant time as long as most replicas
// are usable. After this many misses the list is scanned. In a longer list more
// draws are cheaper than a scan.
constexpr std::size_t MinDraws = 4;
constexpr std::size_t MaxDraws = 16;
constexpr std::size_t ReplicasPerDraw = 8;

// A searcher that fails attempts at once looks idle, so selection by load alone
// would send it more and more attempts. Four failures in a row exceed the
// threshold.
constexpr float FailureSmoothing = 0.2F;
constexpr float FailingThreshold = 0.5F;

// A cancelled attempt was slower than another replica or than the class's
// target. It counts less than a failure, but many in a row indicate a hanging
// searcher.
constexpr float CancelledScore = 0.7F;

// One selection in this many may choose a failing searcher, which detects its
// recovery.
constexpr std::uint64_t SelectionsPerProbe = 50;

float failureScore(query::AttemptStatus Status) {
  switch (Status) {
  case query::AttemptStatus::NotSent:
  case query::AttemptStatus::Lost:
  case query::AttemptStatus::ExpiredBeforeStart:
    return 1.0F;
  case query::AttemptStatus::Cancelled:
    return CancelledScore;
  // A shed attempt shows load, which the attempts in flight already reflect. A
  // missing snapshot or shard does not affect other snapshots.
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
                          std::max(Searcher.SlowStartWeight, MinShare);
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
  const bool IsProbe = this->Random.below(SelectionsPerProbe) == 0;
  if (!IsProbe) {
    this->ExcludesFailing = true;
    const auto Chosen = this->chooseBetterOfTwo(Service, Shard, Excluded);
    // A healthy replica at its quota becomes available sooner than an attempt
    // that a failing replica loses could be retried.
    if (Chosen || this->hasBusyHealthyReplica(Service, Shard, Excluded))
      return Chosen;
  }
  this->ExcludesFailing = false;
  return this->chooseBetterOfTwo(Service, Shard, Excluded);
}

bool PowerOfTwoSelector::hasBusyHealthyReplica(
    const query::ServiceView &Service, const query::ShardView &Shard,
    Positions Excluded) const {
  return std::any_of(
      Shard.Replicas.begin(), Shard.Replicas.end(),
      [&](std::uint32_t Position) {
        const std::uint32_t Index = Service.Searchers[Position].Index.Value;
        if (Index >= this->Loads.size() || this->Loads[Index].Quota == 0)
          return false;
        return this->Loads[Index].FailureRate <= FailingThreshold &&
               std::find(Excluded.begin(), Excluded.end(), Position) ==
                   Excluded.end();
      });
}

std::optional<std::uint32_t>
PowerOfTwoSelector::chooseBetterOfTwo(const query::ServiceView &Service,
                                      const query::ShardView &Shard,
                                      Positions Excluded) {
  const auto First = this->pickRandom(Service, Shard, Excluded, std::nullopt);
  if (!First)
    return std::nullopt;
  const auto Second = this->pickRandom(Service, Shard, Excluded, First);
  if (!Second)
    return First;
  // On equal cost the first one, which is random, is kept.
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
  Load.FailureRate +=
      FailureSmoothing * (failureScore(Status) - Load.FailureRate);
  if (Load.InFlight > 0)
    --Load.InFlight;
}

void PowerOfTwoSelector::setReservedConnections(common::SearcherIndex Searcher,
                                                std::uint32_t Count) {
  this->loadOf(Searcher).ReservedConnections = Count;
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
  if (Load.InFlight + Load.ReservedConnections >= Load.Quota)
    return false;
  if (this->ExcludesFailing && Load.FailureRate > FailingThreshold)
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

std::optional<std::uint32_t> PowerOfTwoSelector::pickRandom(
    const query::ServiceView &Service, const query::ShardView &Shard,
    Positions Excluded, std::optional<std::uint32_t> AlreadyPicked) {
  if (Shard.Replicas.empty())
    return std::nullopt;
  const std::size_t Draws =
      std::clamp(Shard.Replicas.size() / ReplicasPerDraw, MinDraws, MaxDraws);
  for (std::size_t Draw = 0; Draw < Draws; ++Draw) {
    const std::uint32_t Position =
        Shard.Replicas[this->Random.below(Shard.Replicas.size())];
    if (Position != AlreadyPicked &&
        this->isEligible(Service, Position, Excluded))
      return Position;
  }
  return this->pickByScan(Service, Shard, Excluded, AlreadyPicked);
}

// Reservoir sampling: every eligible replica has the same probability.
std::optional<std::uint32_t> PowerOfTwoSelector::pickByScan(
    const query::ServiceView &Service, const query::ShardView &Shard,
    Positions Excluded, std::optional<std::uint32_t> AlreadyPicked) {
  std::optional<std::uint32_t> Picked;
  std::uint64_t EligibleCount = 0;
  for (const std::uint32_t Position : Shard.Replicas) {
    if (Position == AlreadyPicked ||
        !this->isEligible(Service, Position, Excluded))
      continue;
    ++EligibleCount;
    if (this->Random.below(EligibleCount) == 0)
      Picked = Position;
  }
  return Picked;
}

} // namespace acaciacross::routing
