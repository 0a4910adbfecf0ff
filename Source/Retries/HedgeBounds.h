#ifndef ACACIACROSS_RETRIES_HEDGEBOUNDS_H
#define ACACIACROSS_RETRIES_HEDGEBOUNDS_H

#include <chrono>

namespace acaciacross::retries {

/// Bounds of the hedge delay.
struct HedgeBounds {
  /// Minimum delay. Below it, scheduling delays of the VMs dominate the
  /// measured latencies.
  std::chrono::nanoseconds MinDelay = std::chrono::milliseconds(1);
  /// Maximum delay, usually the latency target of the class. A later hedge
  /// cannot help to meet the target.
  std::chrono::nanoseconds MaxDelay = std::chrono::seconds(1);
};

} // namespace acaciacross::retries

#endif
