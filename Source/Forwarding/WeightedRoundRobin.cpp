#include "Forwarding/WeightedRoundRobin.h"

#include <algorithm>
#include <cstddef>

namespace acaciacross::forwarding {

// Smooth weighted round robin: every request adds to each service its weight as
// credit, and the total weight is subtracted from the selected service, which
// has the highest credit.
const common::ServiceName &
WeightedRoundRobin::next(const std::vector<WeightedService> &Services) {
  if (this->CurrentServices != Services) {
    this->CurrentServices = Services;
    this->Credits.assign(Services.size(), 0.0);
  }
  double TotalWeight = 0.0;
  for (std::size_t I = 0; I < Services.size(); ++I) {
    this->Credits[I] += Services[I].Weight;
    TotalWeight += Services[I].Weight;
  }
  const auto Highest = std::ranges::max_element(this->Credits);
  *Highest -= TotalWeight;
  return Services[static_cast<std::size_t>(Highest - this->Credits.begin())]
      .Service;
}

} // namespace acaciacross::forwarding
