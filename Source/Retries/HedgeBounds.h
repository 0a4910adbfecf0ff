#ifndef ACACIACROSS_RETRIES_HEDGEBOUNDS_H
#define ACACIACROSS_RETRIES_HEDGEBOUNDS_H

#include <chrono>

namespace acaciacross::retries {

/// Limits of the hedge delay.
struct HedgeBounds {
  /// Below this, scheduling delays of the VMs dominate what is measured.
  std::chrono::nanoseconds Shortest = std::chrono::milliseconds(1);
  /// Usually the class's latency target: a later hedge can't help to meet it.
  std::chrono::nanoseconds Longest = std::chrono::seconds(1);
};

} // namespace acaciacross::retries

#endif
