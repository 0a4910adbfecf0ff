#include "Gateway/ConnectionShare.h"

#include <algorithm>
#include <cmath>

namespace acaciacross::gateway {

namespace {

// Part of a searcher's connection limit that the VMs use. The rest is for
// connections that one side has closed and the other still counts, and for VMs
// that have just joined.
constexpr double UsableFraction = 0.85;
// Concurrent requests of all VMs at one searcher for each of its slots. With
// more of them the last one would wait for several others, and the searcher
// rejects it instead.
constexpr double MaxRequestsPerSlot = 5.0;
// When some VMs are standby, the placed VMs share this part of the limit. The
// rest is for single requests of standby VMs and for connections of an earlier
// run: after a power failure the searcher still counts them while the restarted
// VMs open new ones.
constexpr double PlacedFraction = 0.5;
// For a service without a published limit.
constexpr std::size_t DefaultConnections = 4;

} // namespace

std::size_t
ConnectionShare::forSearcher(const forwarding::ServiceRegistry &Registry,
                             const forwarding::SearcherEntry &Searcher) {
  const unsigned *PublishedLimit =
      Registry.table() == nullptr
          ? nullptr
          : Registry.table()->maxConnections(Searcher.Service);
  if (PublishedLimit == nullptr)
    return DefaultConnections;
  const double UsableConnections = std::min(
      UsableFraction * *PublishedLimit, MaxRequestsPerSlot * Searcher.Slots);
  const forwarding::FleetShare &Fleet = Registry.fleet();
  if (Fleet.StandbyCount > 0 && !Fleet.IsPlaced)
    return 1;
  const double Share =
      Fleet.StandbyCount > 0
          ? std::min(PlacedFraction * UsableFraction * *PublishedLimit,
                     UsableConnections) /
                std::max(1U, Fleet.PlacedCount)
          : UsableConnections / std::max(1U, Fleet.VmCount);
  return std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(Share)));
}

} // namespace acaciacross::gateway
