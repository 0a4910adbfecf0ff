#ifndef ACACIACROSS_MEMBERSHIP_STOPSEQUENCE_H
#define ACACIACROSS_MEMBERSHIP_STOPSEQUENCE_H

#include "Common/Time.h"
#include "Membership/StopPhase.h"

#include <cstddef>

namespace acaciacross::membership {

/// Decides when a stopping VM closes its caller port and when it may exit.
class StopSequence {
public:
  /// Starts the stop; from now on every acknowledgement must say "leaving".
  /// Further calls change nothing.
  void begin(common::MonotonicTime Now);

  /// Moves on as far as time and the requests still running allow.
  StopPhase advance(common::MonotonicTime Now, std::size_t RunningRequests);

  StopPhase phase() const;

private:
  common::MonotonicTime BeganAt;
  StopPhase Phase = StopPhase::Running;
};

} // namespace acaciacross::membership

#endif
