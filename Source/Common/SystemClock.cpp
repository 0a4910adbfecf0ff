#include "Common/SystemClock.h"

namespace acaciacross::common {

// CLOCK_MONOTONIC goes on while a process is stopped by SIGSTOP, so a pause
// shows as elapsed time.
MonotonicTime SystemClock::monotonicNow() const {
  return std::chrono::steady_clock::now();
}

WallTime SystemClock::wallNow() const {
  return std::chrono::system_clock::now();
}

} // namespace acaciacross::common
