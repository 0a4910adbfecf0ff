#ifndef ACACIACROSS_LIMITS_CLASSQUEUE_H
#define ACACIACROSS_LIMITS_CLASSQUEUE_H

#include "Limits/AdmissionClass.h"
#include "Limits/AdmissionEntry.h"
#include "Retries/LatencyQuantile.h"

#include <deque>

namespace acaciacross::limits {

/// The waiting requests of one class, oldest first.
struct ClassQueue {
  explicit ClassQueue(std::uint32_t WindowSamples) : Latencies(WindowSamples) {}

  AdmissionClass Settings;
  std::deque<AdmissionEntry> Waiting;
  /// Service that the class has had, divided by its weight.
  double VirtualTime = 0.0;

  /// Of queries from their start to their end, without the wait here.
  retries::LatencyQuantile Latencies;
  std::uint32_t FinishedSinceMeasure = 0;
  std::chrono::nanoseconds TypicalLatency{0};
  std::chrono::nanoseconds HighLatency{0};
};

} // namespace acaciacross::limits

#endif
