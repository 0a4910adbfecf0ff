#ifndef ACACIACROSS_TESTSUPPORT_MANUALCLOCK_H
#define ACACIACROSS_TESTSUPPORT_MANUALCLOCK_H

#include "Common/Clock.h"

namespace acaciacross::testsupport {

/// A clock that a test moves forward. Both clocks start at 1000 s.
class ManualClock final : public common::Clock {
public:
  common::MonotonicTime monotonicNow() const override;
  common::WallTime wallNow() const override;

  void advance(std::chrono::nanoseconds Step);
  /// Does nothing when the time has passed.
  void advanceTo(common::MonotonicTime Then);

private:
  std::chrono::nanoseconds SinceEpoch = std::chrono::seconds(1'000);
};

} // namespace acaciacross::testsupport

#endif
