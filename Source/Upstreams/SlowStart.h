#ifndef ACACIACROSS_UPSTREAMS_SLOWSTART_H
#define ACACIACROSS_UPSTREAMS_SLOWSTART_H

#include <chrono>

namespace acaciacross::upstreams {

/// Share of work of a searcher that is new or came back. It rises in steps so
/// that a cold searcher warms up on little traffic.
class SlowStart {
public:
  /// In (0, 1]; 1 from the end of the last step on.
  static double shareAfter(std::chrono::nanoseconds Elapsed);

  static bool isOver(std::chrono::nanoseconds Elapsed);
};

} // namespace acaciacross::upstreams

#endif
