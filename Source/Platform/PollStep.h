#ifndef ACACIACROSS_PLATFORM_POLLSTEP_H
#define ACACIACROSS_PLATFORM_POLLSTEP_H

#include "Platform/HttpFetcher.h"

#include <chrono>
#include <functional>

namespace acaciacross::platform {

/// The step that a polling thread repeats.
class PollStep {
public:
  virtual ~PollStep() = default;

  /// Runs the step once and returns the time to wait before the next run. Ends
  /// early when IsStopping returns true.
  virtual std::chrono::milliseconds
  runStep(HttpFetcher &Fetcher, const std::function<bool()> &IsStopping) = 0;
};

} // namespace acaciacross::platform

#endif
