#ifndef ACACIACROSS_FORWARDING_HEDGEPOLICY_H
#define ACACIACROSS_FORWARDING_HEDGEPOLICY_H

#include "Forwarding/Route.h"
#include "Forwarding/RouteStatistics.h"

#include <chrono>

namespace acaciacross::forwarding {

/// Decides when an unanswered attempt is hedged.
class HedgePolicy {
public:
  virtual ~HedgePolicy() = default;

  /// Delay from the first attempt to the hedge.
  virtual std::chrono::nanoseconds
  delay(const Route &Target, const RouteStatistics &Statistics) const = 0;
};

} // namespace acaciacross::forwarding

#endif
