#ifndef ACACIACROSS_PLATFORM_BACKOFF_H
#define ACACIACROSS_PLATFORM_BACKOFF_H

#include "Common/RandomSource.h"

#include <chrono>
#include <cstdint>

namespace acaciacross::platform {

/// Exponential backoff with jitter. The limit of the wait doubles with each
/// consecutive failure up to a maximum, and the wait is chosen at random from
/// the upper half below the limit, so that VMs whose calls failed together do
/// not retry together.
class Backoff {
public:
  Backoff(std::chrono::milliseconds InitialWait,
          std::chrono::milliseconds MaxWait);

  /// Counts a failure and returns the time to wait before the next call.
  std::chrono::milliseconds next(common::RandomSource &Random);

  /// Starts again from the initial wait; to be called after a success.
  void reset();
  /// Whether there was no failure since the start or the last reset.
  bool isReset() const;

private:
  std::chrono::milliseconds Initial;
  std::chrono::milliseconds Max;
  std::uint32_t FailureCount = 0;
};

} // namespace acaciacross::platform

#endif
