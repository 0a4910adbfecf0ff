#include "Gateway/ConnectionShare.h"

#include <algorithm>
#include <cmath>

namespace acaciacross::gateway {

namespace {

// The rest is for connections that one side has closed and the other still
// counts, and for VMs that have just joined.
constexpr double UsablePart = 0.85;
// Requests of all VMs together at one searcher, for each of its slots. With
// more the last one waits for several others, and searchers reject it instead.
constexpr double DepthPerSlot = 5.0;
// Where some VMs stand by, those that take callers share this part of the
// limit. The rest is for single requests at the others, and for connections of
// an earlier run: after a loss of power the searcher still counts them while
// the VMs are back and open new ones.
constexpr double PlacedPart = 0.5;
// For a service without a published limit.
constexpr std::size_t DefaultConnections = 4;

} // namespace

std::size_t ConnectionShare::of(const forwarding::ServiceBook &Book,
                                const forwarding::SearcherEntry &Searcher) {
  const unsigned *Accepted =
      Book.table() == nullptr ? nullptr
                              : Book.table()->maxConnections(Searcher.Service);
  if (Accepted == nullptr)
    return DefaultConnections;
  const double Useful =
      std::min(UsablePart * *Accepted, DepthPerSlot * Searcher.Slots);
  const forwarding::FleetPart &Fleet = Book.fleet();
  if (Fleet.StandbyCount > 0 && !Fleet.IsPlaced)
    return 1;
  const double Share =
      Fleet.StandbyCount > 0
          ? std::min(PlacedPart * UsablePart * *Accepted, Useful) /
                std::max(1U, Fleet.PlacedCount)
          : Useful / std::max(1U, Fleet.VmCount);
  return std::max<std::size_t>(1, static_cast<std::size_t>(std::floor(Share)));
}

} // namespace acaciacross::gateway
