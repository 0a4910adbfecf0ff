#ifndef ACACIACROSS_LIMITS_CLASSQUEUE_H
#define ACACIACROSS_LIMITS_CLASSQUEUE_H

#include "Limits/AdmissionClass.h"
#include "Limits/AdmissionEntry.h"
#include "Retries/LatencyQuantile.h"

#include <deque>

namespace acaciacross::limits {

/// Waiting requests of one class, oldest first, and the measured latencies of
/// the class.
struct ClassQueue {
  explicit ClassQueue(std::uint32_t WindowSamples) : Latencies(WindowSamples) {}

  AdmissionClass Settings;
  std::deque<AdmissionEntry> Waiting;
  /// Service that the class has received, divided by its weight.
  double VirtualTime = 0.0;

  /// Latencies of queries from start to end, without the time in this queue.
  retries::LatencyQuantile Latencies;
  std::uint32_t FinishedSinceUpdate = 0;
  std::chrono::nanoseconds TypicalLatency{0};
  std::chrono::nanoseconds TargetPercentileLatency{0};
};

} // namespace acaciacross::limits

#endif
