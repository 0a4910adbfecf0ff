#ifndef ACACIACROSS_COMMON_BOOTCLOCK_H
#define ACACIACROSS_COMMON_BOOTCLOCK_H

#include "Common/Clock.h"

namespace acaciacross::common {

/// A clock for the detection of pauses. Its wall time is the time since the VM
/// booted, which is never set and, unlike monotonic time, also advances while
/// the VM is suspended.
class BootClock final : public Clock {
public:
  MonotonicTime monotonicNow() const override;
  WallTime wallNow() const override;
};

} // namespace acaciacross::common

#endif
