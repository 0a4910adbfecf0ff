#include "Membership/StopSequence.h"

#include "Membership/FleetLimits.h"

namespace acaciacross::membership {

namespace {

// A peer's evidence carries the time at which its probe was sent, and every
// probe sent after the announcement is answered "leaving". So the last answer
// that names this VM is given at most EvidenceLimit after the announcement and
// is valid for AddressValidity.
constexpr std::chrono::milliseconds LingerTime =
    EvidenceLimit + AddressValidity + LingerMargin;

} // namespace

void StopSequence::begin(common::MonotonicTime Now) {
  if (this->Phase != StopPhase::Running)
    return;
  this->BeganAt = Now;
  this->Phase = StopPhase::Lingering;
}

StopPhase StopSequence::advance(common::MonotonicTime Now,
                                std::size_t RunningRequests) {
  if (this->Phase == StopPhase::Lingering && Now - this->BeganAt >= LingerTime)
    this->Phase = StopPhase::Draining;
  // The front end still counts a request whose connection was accepted before
  // the port closed, so Done is decided in a later call than Draining.
  else if (this->Phase == StopPhase::Draining && RunningRequests == 0)
    this->Phase = StopPhase::Done;
  return this->Phase;
}

StopPhase StopSequence::phase() const { return this->Phase; }

} // namespace acaciacross::membership
