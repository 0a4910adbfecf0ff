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

// One VM may be lost or restarted while the other serves.
constexpr std::size_t VmsPerDomain = 2;
// At twice this utilization queries still do not wait for the processor, which
// leaves time to place more VMs in a burst.
constexpr double TargetUtilization = 0.35;

struct RankedCandidate {
  /// Sort key: the minimum number of VMs of each failure domain first, then
  /// larger VMs, then the failure domains in turn.
  std::tuple<bool, unsigned, std::size_t, std::uint64_t> SortKey;
  const PlacementCandidate *Candidate;
};

std::vector<RankedCandidate>
rankCandidates(std::span<const PlacementCandidate> Serving) {
  using SizeEntry =
      std::tuple<unsigned, std::uint64_t, const PlacementCandidate *>;
  std::vector<SizeEntry> Entries;
  for (const PlacementCandidate &Candidate : Serving)
    Entries.emplace_back(~Candidate.CapacityMilliCores,
                         common::stableHash(Candidate.Vm.Value), &Candidate);
  std::ranges::sort(Entries);
  std::map<std::string, std::size_t> CountByDomain;
  std::vector<RankedCandidate> Order;
  for (const auto &[InvertedSize, Hash, Candidate] : Entries) {
    const std::size_t IndexInDomain = CountByDomain[Candidate->FailureDomain]++;
    Order.push_back(
        {{IndexInDomain >= VmsPerDomain, InvertedSize, IndexInDomain, Hash},
         Candidate});
  }
  std::ranges::sort(Order, {}, &RankedCandidate::SortKey);
  return Order;
}

} // namespace

std::set<common::VmId>
LoadPlacement::choose(std::span<const PlacementCandidate> Serving,
                      common::MonotonicTime Now) {
  const double Required = this->requiredMilliCores(Serving, Now);
  std::set<std::string> Domains;
  for (const PlacementCandidate &Candidate : Serving)
    Domains.insert(Candidate.FailureDomain);
  // In a fleet that is small enough to be probed completely every VM knows all
  // others, and the connections that each searcher accepts suffice for all VMs.
  const bool IsSmall = Serving.size() <= membership::MaxSmallFleetPeers;
  const std::size_t MinCount =
      IsSmall ? Serving.size() : VmsPerDomain * Domains.size();
  std::set<common::VmId> Chosen;
  double Capacity = 0.0;
  for (const RankedCandidate &Entry : rankCandidates(Serving)) {
    if (Chosen.size() >= MinCount && Capacity >= Required)
      break;
    Chosen.insert(Entry.Candidate->Vm);
    Capacity += Entry.Candidate->CapacityMilliCores;
  }
  return Chosen;
}

double
LoadPlacement::requiredMilliCores(std::span<const PlacementCandidate> Serving,
                                  common::MonotonicTime Now) {
  constexpr double PerMille = 1'000.0;
  double UsedMilliCores = 0.0;
  for (const PlacementCandidate &Candidate : Serving)
    UsedMilliCores +=
        Candidate.CapacityMilliCores * (Candidate.BusyPerMille / PerMille);
  this->Demand.add(Now, UsedMilliCores / TargetUtilization);
  return this->Demand.maximum(Now);
}

} // namespace acaciacross::routing
