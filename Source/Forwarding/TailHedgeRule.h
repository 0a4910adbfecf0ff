#ifndef ACACIACROSS_FORWARDING_TAILHEDGERULE_H
#define ACACIACROSS_FORWARDING_TAILHEDGERULE_H

#include "Forwarding/HedgeRule.h"

namespace acaciacross::forwarding {

/// Hedges the slowest tenth of the attempts, early enough that the second one
/// can still meet the target. Answers the load of single stragglers.
class TailHedgeRule final : public HedgeRule {
public:
  std::chrono::nanoseconds
  delay(const Route &Target, const RouteStatistics &Statistics) const override;
};

} // namespace acaciacross::forwarding

#endif
