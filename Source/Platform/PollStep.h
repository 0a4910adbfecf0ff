#ifndef ACACIACROSS_PLATFORM_POLLSTEP_H
#define ACACIACROSS_PLATFORM_POLLSTEP_H

#include "Platform/HttpFetcher.h"

#include <chrono>
#include <functional>

namespace acaciacross::platform {

/// What a polling thread does again and again.
class PollStep {
public:
  virtual ~PollStep() = default;

  /// Runs once, gives up when IsStopping, and returns the time to wait before
  /// the next run.
  virtual std::chrono::milliseconds
  runStep(HttpFetcher &Fetcher, const std::function<bool()> &IsStopping) = 0;
};

} // namespace acaciacross::platform

#endif
