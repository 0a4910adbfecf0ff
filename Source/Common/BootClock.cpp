#include "Common/BootClock.h"

#include <chrono>
#include <ctime>

namespace acaciacross::common {

MonotonicTime BootClock::monotonicNow() const {
  return std::chrono::steady_clock::now();
}

WallTime BootClock::wallNow() const {
  timespec Time{};
  ::clock_gettime(CLOCK_BOOTTIME, &Time);
  const auto SinceBoot = std::chrono::seconds(Time.tv_sec) +
                         std::chrono::nanoseconds(Time.tv_nsec);
  return WallTime(std::chrono::duration_cast<WallTime::duration>(SinceBoot));
}

} // namespace acaciacross::common
