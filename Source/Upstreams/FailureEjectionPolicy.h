#ifndef ACACIACROSS_UPSTREAMS_FAILUREEJECTIONPOLICY_H
#define ACACIACROSS_UPSTREAMS_FAILUREEJECTIONPOLICY_H

#include "Upstreams/EjectionPolicy.h"

namespace acaciacross::upstreams {

/// Ejects a searcher after 5 consecutive failures or when half of its attempts
/// fail. The first ejection lasts 5 s; each further one lasts twice as long as
/// the one before, up to 5 min.
class FailureEjectionPolicy final : public EjectionPolicy {
public:
  bool isFaulty(const FailureStatistics &Statistics,
                common::MonotonicTime Now) const override;
  std::chrono::nanoseconds
  ejectionTime(std::uint32_t EarlierEjections) const override;
  std::size_t maxEjected(std::size_t ReplicaCount) const override;
  bool suspectsLocalFault(std::size_t FailingCount,
                          std::size_t ObservedCount) const override;
};

} // namespace acaciacross::upstreams

#endif
