#ifndef ACACIACROSS_COMMON_SYSTEMCLOCK_H
#define ACACIACROSS_COMMON_SYSTEMCLOCK_H

#include "Common/Clock.h"

namespace acaciacross::common {

/// The clocks of the operating system.
class SystemClock final : public Clock {
public:
  MonotonicTime monotonicNow() const override;
  WallTime wallNow() const override;
};

} // namespace acaciacross::common

#endif
