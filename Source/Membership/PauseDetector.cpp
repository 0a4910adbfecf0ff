#include "Membership/PauseDetector.h"

#include "Membership/FleetLimits.h"

#include <algorithm>

namespace acaciacross::membership {

std::optional<std::chrono::milliseconds>
PauseDetector::tick(common::MonotonicTime Now, common::WallTime Wall) {
  const auto Gap = this->gapAt(Now, Wall);
  this->setLast(Now, Wall);
  return Gap;
}

std::optional<std::chrono::milliseconds>
PauseDetector::checkBeforeMessage(common::MonotonicTime Now,
                                  common::WallTime Wall) {
  const auto Gap = this->gapAt(Now, Wall);
  if (Gap)
    this->setLast(Now, Wall);
  return Gap;
}

// The monotonic clock of a suspended VM may stand still, so the wall clock is
// checked as well. If the wall clock is set forward, evidence is discarded
// unnecessarily and is restored by the next round of probes.
std::optional<std::chrono::milliseconds>
PauseDetector::gapAt(common::MonotonicTime Now, common::WallTime Wall) const {
  if (!this->LastTick)
    return std::nullopt;
  const auto MonotonicGap =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now -
                                                            *this->LastTick);
  const auto WallGap = std::chrono::duration_cast<std::chrono::milliseconds>(
      Wall - this->LastWall);
  const auto Gap = std::max(MonotonicGap, WallGap);
  if (Gap <= PauseThreshold)
    return std::nullopt;
  return Gap;
}

void PauseDetector::setLast(common::MonotonicTime Now, common::WallTime Wall) {
  this->LastTick = Now;
  this->LastWall = Wall;
}

} // namespace acaciacross::membership
