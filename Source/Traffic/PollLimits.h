#ifndef ACACIACROSS_TRAFFIC_POLLLIMITS_H
#define ACACIACROSS_TRAFFIC_POLLLIMITS_H

#include <chrono>
#include <cstddef>

namespace acaciacross::traffic {

/// Limits of how often pages are polled.
struct PollLimits {
  /// Interval between polls of one searcher; varied at random by up to a fifth.
  std::chrono::milliseconds Period{1000};
  /// Searchers of the service that are polled in a second. With more searchers
  /// the period becomes longer. Two pages on open connections take some 700
  /// bytes, so this limits the traffic of a service to 35 KB/s.
  std::size_t MaxPerSecond = 50;
  std::size_t MaxConcurrent = 16;
  /// Delay of a poll when all connections of the searcher were in use.
  std::chrono::milliseconds BusyRetryDelay{200};
};

} // namespace acaciacross::traffic

#endif
