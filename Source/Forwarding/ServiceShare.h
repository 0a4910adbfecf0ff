#ifndef ACACIACROSS_FORWARDING_SERVICESHARE_H
#define ACACIACROSS_FORWARDING_SERVICESHARE_H

#include "Common/Identifiers.h"

namespace acaciacross::forwarding {

/// One service of a route and its part of the route's requests.
struct ServiceShare {
  common::ServiceName Service;
  double Weight = 1.0;

  bool operator==(const ServiceShare &) const = default;
};

} // namespace acaciacross::forwarding

#endif
