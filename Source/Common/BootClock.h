#ifndef ACACIACROSS_COMMON_BOOTCLOCK_H
#define ACACIACROSS_COMMON_BOOTCLOCK_H

#include "Common/Clock.h"

namespace acaciacross::common {

/// Like the system's clocks, but the wall clock is the time since the VM
/// started: it goes on while the VM is suspended, as the monotonic clock does
/// not, and is never set. For finding pauses only.
class BootClock final : public Clock {
public:
  MonotonicTime monotonicNow() const override;
  WallTime wallNow() const override;
};

} // namespace acaciacross::common

#endif
