#ifndef ACACIACROSS_LIMITS_ADMISSIONCLASS_H
#define ACACIACROSS_LIMITS_ADMISSIONCLASS_H

#include <chrono>
#include <cstddef>

namespace acaciacross::limits {

/// Settings of a class in the admission queue.
struct AdmissionClass {
  /// Relative share of the service that the class gets while requests of other
  /// classes wait, too.
  double Weight = 1.0;
  std::chrono::nanoseconds LatencyTarget = std::chrono::milliseconds(100);
  /// In percent.
  double TargetPercentile = 99.0;
  std::size_t MaxQueued = 256;
};

} // namespace acaciacross::limits

#endif
