#ifndef ACACIACROSS_FORWARDING_WEIGHTEDROUNDROBIN_H
#define ACACIACROSS_FORWARDING_WEIGHTEDROUNDROBIN_H

#include "Forwarding/WeightedService.h"

#include <vector>

namespace acaciacross::forwarding {

/// Distributes the requests of one route over its services in proportion to
/// their weights (weighted round robin). Every longer run of requests keeps the
/// proportions, which random selection does only on average.
class WeightedRoundRobin {
public:
  /// Returns the service for the next request. Services: those of the current
  /// version of the route, not empty. A change of them restarts the
  /// distribution.
  const common::ServiceName &next(const std::vector<WeightedService> &Services);

private:
  std::vector<WeightedService> CurrentServices;
  std::vector<double> Credits;
};

} // namespace acaciacross::forwarding

#endif
