#ifndef ACACIACROSS_UPSTREAMS_SLOWSTART_H
#define ACACIACROSS_UPSTREAMS_SLOWSTART_H

#include <chrono>

namespace acaciacross::upstreams {

/// Fraction of its normal traffic that a new or returned searcher gets. It
/// rises in steps so that a cold searcher warms up on little traffic.
class SlowStart {
public:
  /// In (0, 1]; 1 after the last step.
  static double shareAfter(std::chrono::nanoseconds Elapsed);

  static bool isOver(std::chrono::nanoseconds Elapsed);
};

} // namespace acaciacross::upstreams

#endif
