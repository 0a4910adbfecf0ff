#include "Membership/StopSequence.h"

#include "Membership/FleetLimits.h"

#include <algorithm>

namespace acaciacross::membership {

namespace {

// A peer dates its evidence by the time at which it sent the probe, and every
// probe that is sent after the announcement is answered with "leaving". So the
// last answer that lists this VM is given at most MaxEvidenceAge after the
// announcement and is valid for AddressValidity.
constexpr std::chrono::milliseconds LingerTime =
    MaxEvidenceAge + AddressValidity + LingerMargin;

} // namespace

void StopSequence::begin(common::MonotonicTime Now,
                         common::MonotonicTime CloseBy) {
  if (this->Phase != StopPhase::Running)
    return;
  this->ClosesAt = std::min(Now + LingerTime, CloseBy);
  this->Phase = StopPhase::Lingering;
}

StopPhase StopSequence::advance(common::MonotonicTime Now, bool HasCallers) {
  if (this->Phase == StopPhase::Lingering && Now >= this->ClosesAt)
    this->Phase = StopPhase::Draining;
  // The front end closes the port only after it has been told of Draining, so
  // Done is reached in a later call.
  else if (this->Phase == StopPhase::Draining && !HasCallers)
    this->Phase = StopPhase::Done;
  return this->Phase;
}

StopPhase StopSequence::phase() const { return this->Phase; }

} // namespace acaciacross::membership
