#ifndef ACACIACROSS_FORWARDING_WEIGHTEDSERVICE_H
#define ACACIACROSS_FORWARDING_WEIGHTEDSERVICE_H

#include "Common/Identifiers.h"

namespace acaciacross::forwarding {

/// A service of a route and the weight of its share of the route's requests.
struct WeightedService {
  common::ServiceName Service;
  double Weight = 1.0;

  bool operator==(const WeightedService &) const = default;
};

} // namespace acaciacross::forwarding

#endif
