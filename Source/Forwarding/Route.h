#ifndef ACACIACROSS_FORWARDING_ROUTE_H
#define ACACIACROSS_FORWARDING_ROUTE_H

#include "Forwarding/GatherRule.h"
#include "Forwarding/Repeatability.h"
#include "Forwarding/ServiceShare.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace acaciacross::forwarding {

/// Where the requests of one host and path prefix go, and with which targets.
struct Route {
  std::string Name;
  std::string Host;
  std::string Prefix;
  Repeatability Repeat = Repeatability::AtMostOnce;
  /// The longest that a request is kept waiting.
  std::chrono::milliseconds Timeout{0};
  /// An answer within this time meets the target.
  std::chrono::milliseconds LatencyTarget{0};
  /// 0 is the most urgent.
  int Priority = 0;
  /// Most searchers that one request is sent to; for each shard.
  unsigned MaxAttempts = 1;
  /// Empty when Gather is set.
  std::vector<ServiceShare> Services;
  std::optional<GatherRule> Gather;
};

} // namespace acaciacross::forwarding

#endif
