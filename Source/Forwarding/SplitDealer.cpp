#include "Forwarding/SplitDealer.h"

#include <algorithm>
#include <cstddef>

namespace acaciacross::forwarding {

// Smooth weighted round robin: each service earns its weight with every
// request, and the richest pays for the request.
const common::ServiceName &
SplitDealer::deal(const std::vector<ServiceShare> &Services) {
  if (this->Dealt != Services) {
    this->Dealt = Services;
    this->Credit.assign(Services.size(), 0.0);
  }
  double Total = 0.0;
  for (std::size_t I = 0; I < Services.size(); ++I) {
    this->Credit[I] += Services[I].Weight;
    Total += Services[I].Weight;
  }
  const auto Richest = std::ranges::max_element(this->Credit);
  *Richest -= Total;
  return Services[static_cast<std::size_t>(Richest - this->Credit.begin())]
      .Service;
}

} // namespace acaciacross::forwarding
