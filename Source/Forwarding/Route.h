#ifndef ACACIACROSS_FORWARDING_ROUTE_H
#define ACACIACROSS_FORWARDING_ROUTE_H

#include "Forwarding/GatherSettings.h"
#include "Forwarding/Repeatability.h"
#include "Forwarding/WeightedService.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace acaciacross::forwarding {

/// Destination and targets of the requests for one host and path prefix.
struct Route {
  std::string Name;
  std::string Host;
  std::string Prefix;
  Repeatability Repeat = Repeatability::AtMostOnce;
  /// Maximum time until a request is answered.
  std::chrono::milliseconds Timeout{0};
  /// A request that is answered within this time meets the target.
  std::chrono::milliseconds LatencyTarget{0};
  /// Priority; 0 is the most urgent.
  int Priority = 0;
  /// Maximum number of searchers that a request is sent to, for each shard.
  unsigned MaxAttempts = 1;
  /// Services that share the requests by weight; empty when Gather is set.
  std::vector<WeightedService> Services;
  std::optional<GatherSettings> Gather;
  /// Regions whose searchers may get the requests; empty for all.
  std::vector<std::string> AllowedRegions;
};

} // namespace acaciacross::forwarding

#endif
