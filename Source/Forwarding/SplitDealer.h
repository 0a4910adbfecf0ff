#ifndef ACACIACROSS_FORWARDING_SPLITDEALER_H
#define ACACIACROSS_FORWARDING_SPLITDEALER_H

#include "Forwarding/ServiceShare.h"

#include <vector>

namespace acaciacross::forwarding {

/// Deals the requests of one route to its services in proportion to their
/// weights: any long run of requests keeps the shares, which random draws do
/// only on average.
class SplitDealer {
public:
  /// The service of the next request. Services: those of the route's present
  /// version, not empty; a change of them starts a new deal.
  const common::ServiceName &deal(const std::vector<ServiceShare> &Services);

private:
  std::vector<ServiceShare> Dealt;
  std::vector<double> Credit;
};

} // namespace acaciacross::forwarding

#endif
