#include "TestSupport/ManualClock.h"

#include <algorithm>

namespace acaciacross::testsupport {

common::MonotonicTime ManualClock::monotonicNow() const {
  return common::MonotonicTime(this->SinceEpoch);
}

common::WallTime ManualClock::wallNow() const {
  return common::WallTime(
      std::chrono::duration_cast<common::WallTime::duration>(this->SinceEpoch));
}

void ManualClock::advance(std::chrono::nanoseconds Step) {
  this->SinceEpoch += Step;
}

void ManualClock::advanceTo(common::MonotonicTime Time) {
  this->SinceEpoch = std::max(this->SinceEpoch, Time.time_since_epoch());
}

} // namespace acaciacross::testsupport
