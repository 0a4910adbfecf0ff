#ifndef ACACIACROSS_FORWARDING_ROUTEDEMAND_H
#define ACACIACROSS_FORWARDING_ROUTEDEMAND_H

#include "Forwarding/RecentShare.h"
#include "Forwarding/Route.h"

#include <cstdint>
#include <vector>

namespace acaciacross::forwarding {

/// Recent requests of one route at this VM.
struct RouteDemand {
  /// The route as of the routing table version of its last request.
  Route Target;
  std::vector<common::ServiceName> Services;
  std::uint64_t Version = 0;
  RecentShare Share;
};

} // namespace acaciacross::forwarding

#endif
