#ifndef ACACIACROSS_FORWARDING_HEDGERULE_H
#define ACACIACROSS_FORWARDING_HEDGERULE_H

#include "Forwarding/Route.h"
#include "Forwarding/RouteStatistics.h"

#include <chrono>

namespace acaciacross::forwarding {

/// Says when an attempt without an answer gets company.
class HedgeRule {
public:
  virtual ~HedgeRule() = default;

  /// Time from the first attempt to the second one.
  virtual std::chrono::nanoseconds
  delay(const Route &Target, const RouteStatistics &Statistics) const = 0;
};

} // namespace acaciacross::forwarding

#endif
