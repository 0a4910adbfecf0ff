#ifndef ACACIACROSS_UPSTREAMS_FAILUREEJECTIONPOLICY_H
#define ACACIACROSS_UPSTREAMS_FAILUREEJECTIONPOLICY_H

#include "Upstreams/EjectionPolicy.h"

namespace acaciacross::upstreams {

/// Ejects after 5 failures in a row or when half of the attempts fail, for 5 s
/// at first and twice as long each further time, up to 5 min.
class FailureEjectionPolicy final : public EjectionPolicy {
public:
  bool isFaulty(const FailureStatistics &Statistics,
                common::MonotonicTime Now) const override;
  std::chrono::nanoseconds ejectionTime(std::uint32_t Earlier) const override;
  std::size_t maxEjected(std::size_t Replicas) const override;
  bool suspectsSelf(std::size_t Failing, std::size_t Observed) const override;
};

} // namespace acaciacross::upstreams

#endif
