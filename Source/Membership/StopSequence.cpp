#include "Membership/StopSequence.h"

#include "Membership/FleetLimits.h"

namespace acaciacross::membership {

namespace {

// A peer dates its evidence by the time at which it sent the probe, and every
// probe that is sent after the announcement is answered with "leaving". So the
// last answer that lists this VM is given at most MaxEvidenceAge after the
// announcement and is valid for AddressValidity.
constexpr std::chrono::milliseconds LingerTime =
    MaxEvidenceAge + AddressValidity + LingerMargin;

} // namespace

void StopSequence::begin(common::MonotonicTime Now) {
  if (this->Phase != StopPhase::Running)
    return;
  this->StartedAt = Now;
  this->Phase = StopPhase::Lingering;
}

StopPhase StopSequence::advance(common::MonotonicTime Now,
                                std::size_t RunningRequests) {
  if (this->Phase == StopPhase::Lingering &&
      Now - this->StartedAt >= LingerTime)
    this->Phase = StopPhase::Draining;
  // The front end may still count a request whose connection was accepted
  // before the port was closed, so Done is reached in a later call than
  // Draining.
  else if (this->Phase == StopPhase::Draining && RunningRequests == 0)
    this->Phase = StopPhase::Done;
  return this->Phase;
}

StopPhase StopSequence::phase() const { return this->Phase; }

} // namespace acaciacross::membership
