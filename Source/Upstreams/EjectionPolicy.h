#ifndef ACACIACROSS_UPSTREAMS_EJECTIONPOLICY_H
#define ACACIACROSS_UPSTREAMS_EJECTIONPOLICY_H

#include "Upstreams/FailureStatistics.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace acaciacross::upstreams {

/// Decides which searchers get no work for a time because they fail.
class EjectionPolicy {
public:
  virtual ~EjectionPolicy() = default;

  virtual bool isFaulty(const FailureStatistics &Statistics,
                        common::MonotonicTime Now) const = 0;

  /// How long an ejection lasts after Earlier ejections in a row.
  virtual std::chrono::nanoseconds
  ejectionTime(std::uint32_t Earlier) const = 0;

  /// How many of a shard's replicas may be ejected at the same time.
  virtual std::size_t maxEjected(std::size_t Replicas) const = 0;

  /// Whether so many searchers fail that this VM is more likely to be at fault.
  virtual bool suspectsSelf(std::size_t Failing,
                            std::size_t Observed) const = 0;
};

} // namespace acaciacross::upstreams

#endif
