#ifndef ACACIACROSS_TRAFFIC_POLLLIMITS_H
#define ACACIACROSS_TRAFFIC_POLLLIMITS_H

#include <chrono>
#include <cstddef>

namespace acaciacross::traffic {

/// How often pages are polled.
struct PollLimits {
  /// Between polls of one searcher; each interval is up to a fifth shorter or
  /// longer.
  std::chrono::milliseconds Period{1000};
  /// Searchers polled in a second, of all searchers of the service. With more
  /// searchers the period is longer. Two pages on kept connections are some
  /// 700 bytes, so this bounds the traffic of a service at 35 KB/s.
  std::size_t MaxPerSecond = 50;
  std::size_t MaxAtOnce = 16;
  /// Until the next try when the searcher's connections were in use.
  std::chrono::milliseconds SkipDelay{200};
};

} // namespace acaciacross::traffic

#endif
