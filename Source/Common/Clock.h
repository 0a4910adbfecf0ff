#ifndef ACACIACROSS_COMMON_CLOCK_H
#define ACACIACROSS_COMMON_CLOCK_H

#include "Common/Time.h"

namespace acaciacross::common {

/// Source of the current time. Tests use a clock that they advance explicitly.
class Clock {
public:
  virtual ~Clock() = default;

  virtual MonotonicTime monotonicNow() const = 0;
  virtual WallTime wallNow() const = 0;
};

} // namespace acaciacross::common

#endif
