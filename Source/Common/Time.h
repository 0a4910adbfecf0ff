#ifndef ACACIACROSS_COMMON_TIME_H
#define ACACIACROSS_COMMON_TIME_H

#include <chrono>

namespace acaciacross::common {

/// A point in time on the monotonic clock of this process.
using MonotonicTime = std::chrono::steady_clock::time_point;

/// A point in time on the wall clock, comparable between VMs up to clock skew.
using WallTime = std::chrono::system_clock::time_point;

} // namespace acaciacross::common

#endif
