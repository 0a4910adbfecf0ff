#ifndef ACACIACROSS_MEMBERSHIP_PAUSEDETECTOR_H
#define ACACIACROSS_MEMBERSHIP_PAUSEDETECTOR_H

#include "Common/Time.h"

#include <chrono>
#include <optional>

namespace acaciacross::membership {

/// Finds that this process did not run for a while.
class PauseDetector {
public:
  /// Call at every control tick, before anything acts on the time. Gives the
  /// length of the pause that ends now, if there was one.
  std::optional<std::chrono::milliseconds> tick(common::MonotonicTime Now,
                                                common::WallTime Wall);

  /// Call before a message is handled: after a pause the reactor may hand out
  /// messages before the late tick.
  std::optional<std::chrono::milliseconds>
  beforeMessage(common::MonotonicTime Now, common::WallTime Wall);

private:
  std::optional<std::chrono::milliseconds> gapAt(common::MonotonicTime Now,
                                                 common::WallTime Wall) const;
  void setLast(common::MonotonicTime Now, common::WallTime Wall);

  std::optional<common::MonotonicTime> LastTick;
  common::WallTime LastWall;
};

} // namespace acaciacross::membership

#endif
