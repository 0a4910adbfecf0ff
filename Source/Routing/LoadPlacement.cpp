#include "Routing/LoadPlacement.h"

#include "Common/Hash.h"
#include "Membership/FleetLimits.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>
#include <utility>
#include <vector>

namespace acaciacross::routing {

namespace {

// One of them may be lost or restarted while the other serves.
constexpr std::size_t VmsPerDomain = 2;
// At twice this load queries still do not wait for the processor, so there is
// time to place more VMs in a burst.
constexpr double TargetBusy = 0.35;

struct Ranked {
  /// Those that each failure domain needs first, then larger VMs first, then
  /// one of each failure domain in turn.
  std::tuple<bool, unsigned, std::size_t, std::uint64_t> Rank;
  const PlacementCandidate *Candidate;
};

std::vector<Ranked> ranked(std::span<const PlacementCandidate> Serving) {
  using BySize =
      std::tuple<unsigned, std::uint64_t, const PlacementCandidate *>;
  std::vector<BySize> Sizes;
  for (const PlacementCandidate &Each : Serving)
    Sizes.emplace_back(~Each.CapacityMilliCores,
                       common::stableHash(Each.Vm.Value), &Each);
  std::ranges::sort(Sizes);
  std::map<std::string, std::size_t> SeenInDomain;
  std::vector<Ranked> Order;
  for (const auto &[Size, Hash, Each] : Sizes) {
    const std::size_t Turn = SeenInDomain[Each->FailureDomain]++;
    Order.push_back({{Turn >= VmsPerDomain, Size, Turn, Hash}, Each});
  }
  std::ranges::sort(Order, {}, &Ranked::Rank);
  return Order;
}

} // namespace

std::set<common::VmId>
LoadPlacement::choose(std::span<const PlacementCandidate> Serving,
                      common::MonotonicTime Now) {
  const double Needed = this->needed(Serving, Now);
  std::set<std::string> Domains;
  for (const PlacementCandidate &Each : Serving)
    Domains.insert(Each.FailureDomain);
  // In a fleet that is probed whole every VM knows the others, and a part of
  // the connections of each searcher is enough for all.
  const bool IsSmall = Serving.size() <= membership::SmallFleetPeers;
  const std::size_t Least =
      IsSmall ? Serving.size() : VmsPerDomain * Domains.size();
  std::set<common::VmId> Chosen;
  double Capacity = 0.0;
  for (const Ranked &Each : ranked(Serving)) {
    if (Chosen.size() >= Least && Capacity >= Needed)
      break;
    Chosen.insert(Each.Candidate->Vm);
    Capacity += Each.Candidate->CapacityMilliCores;
  }
  return Chosen;
}

double LoadPlacement::needed(std::span<const PlacementCandidate> Serving,
                             common::MonotonicTime Now) {
  constexpr double Whole = 1'000.0;
  double Used = 0.0;
  for (const PlacementCandidate &Each : Serving)
    Used += Each.CapacityMilliCores * (Each.BusyPerMille / Whole);
  this->Recent.note(Now, Used / TargetBusy);
  return this->Recent.largest(Now);
}

} // namespace acaciacross::routing
