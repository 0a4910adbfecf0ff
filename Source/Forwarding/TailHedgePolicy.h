#ifndef ACACIACROSS_FORWARDING_TAILHEDGEPOLICY_H
#define ACACIACROSS_FORWARDING_TAILHEDGEPOLICY_H

#include "Forwarding/HedgePolicy.h"

namespace acaciacross::forwarding {

/// Hedges the slowest tenth of the attempts, early enough for the hedge to meet
/// the latency target. Mitigates single slow searchers.
class TailHedgePolicy final : public HedgePolicy {
public:
  std::chrono::nanoseconds
  delay(const Route &Target, const RouteStatistics &Statistics) const override;
};

} // namespace acaciacross::forwarding

#endif
