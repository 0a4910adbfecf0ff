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

void PowerOfTwoSelector::onAttemptEnded(common::SearcherIndex Searcher) {
  SearcherLoad &Load = this->loadOf(Searcher);
  if (Load.InFlight > 0)
    --Load.InFlight;
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
  if (this->Loads[Index].InFlight >= this->Loads[Index].Quota)
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
