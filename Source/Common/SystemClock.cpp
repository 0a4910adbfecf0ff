#include "Common/SystemClock.h"

namespace acaciacross::common {

// CLOCK_MONOTONIC advances while SIGSTOP stops the process, so a pause is
// visible as elapsed time.
MonotonicTime SystemClock::monotonicNow() const {
  return std::chrono::steady_clock::now();
}

WallTime SystemClock::wallNow() const {
  return std::chrono::system_clock::now();
}

} // namespace acaciacross::common
