#ifndef ACACIACROSS_MEMBERSHIP_PAUSEDETECTOR_H
#define ACACIACROSS_MEMBERSHIP_PAUSEDETECTOR_H

#include "Common/Time.h"

#include <chrono>
#include <optional>

namespace acaciacross::membership {

/// Detects that this process was not running for a while.
class PauseDetector {
public:
  /// Must be called at every control tick, before anything uses the time.
  /// Returns the length of the pause that ends now, if there was one.
  std::optional<std::chrono::milliseconds> tick(common::MonotonicTime Now,
                                                common::WallTime Wall);

  /// Must be called before a message is handled, because after a pause the
  /// reactor may dispatch messages before the overdue tick. Returns the length
  /// of the pause, if there was one.
  std::optional<std::chrono::milliseconds>
  checkBeforeMessage(common::MonotonicTime Now, common::WallTime Wall);

private:
  std::optional<std::chrono::milliseconds> gapAt(common::MonotonicTime Now,
                                                 common::WallTime Wall) const;
  void setLast(common::MonotonicTime Now, common::WallTime Wall);

  std::optional<common::MonotonicTime> LastTick;
  common::WallTime LastWall;
};

} // namespace acaciacross::membership

#endif
