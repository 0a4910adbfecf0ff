#ifndef ACACIACROSS_TESTSUPPORT_MANUALCLOCK_H
#define ACACIACROSS_TESTSUPPORT_MANUALCLOCK_H

#include "Common/Clock.h"

namespace acaciacross::testsupport {

/// A clock that a test moves forward. Monotonic and wall time start at 1000 s.
class ManualClock final : public common::Clock {
public:
  common::MonotonicTime monotonicNow() const override;
  common::WallTime wallNow() const override;

  void advance(std::chrono::nanoseconds Step);
  /// Does nothing when the time is in the past.
  void advanceTo(common::MonotonicTime Time);

private:
  std::chrono::nanoseconds SinceEpoch = std::chrono::seconds(1'000);
};

} // namespace acaciacross::testsupport

#endif
