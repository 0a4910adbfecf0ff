#ifndef ACACIACROSS_UPSTREAMS_EJECTIONPOLICY_H
#define ACACIACROSS_UPSTREAMS_EJECTIONPOLICY_H

#include "Upstreams/FailureStatistics.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace acaciacross::upstreams {

/// Decides which searchers are ejected, that is, get no requests for a time
/// because they fail.
class EjectionPolicy {
public:
  virtual ~EjectionPolicy() = default;

  virtual bool isFaulty(const FailureStatistics &Statistics,
                        common::MonotonicTime Now) const = 0;

  /// Duration of an ejection that follows EarlierEjections consecutive ones.
  virtual std::chrono::nanoseconds
  ejectionTime(std::uint32_t EarlierEjections) const = 0;

  /// Number of a shard's replicas that may be ejected at the same time.
  virtual std::size_t maxEjected(std::size_t ReplicaCount) const = 0;

  /// Whether so many of the observed searchers fail that the fault is more
  /// likely in this VM.
  virtual bool suspectsLocalFault(std::size_t FailingCount,
                                  std::size_t ObservedCount) const = 0;
};

} // namespace acaciacross::upstreams

#endif
