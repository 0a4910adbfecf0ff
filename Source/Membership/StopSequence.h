#ifndef ACACIACROSS_MEMBERSHIP_STOPSEQUENCE_H
#define ACACIACROSS_MEMBERSHIP_STOPSEQUENCE_H

#include "Common/Time.h"
#include "Membership/StopPhase.h"

#include <cstddef>

namespace acaciacross::membership {

/// Decides when a stopping VM closes its caller port and when it may exit.
class StopSequence {
public:
  /// Starts the stop. From now on every acknowledgement must report "leaving".
  /// Further calls have no effect.
  void begin(common::MonotonicTime Now);

  /// Moves to the next phase if the time and the number of running requests
  /// allow it. Returns the current phase.
  StopPhase advance(common::MonotonicTime Now, std::size_t RunningRequests);

  StopPhase phase() const;

private:
  common::MonotonicTime StartedAt;
  StopPhase Phase = StopPhase::Running;
};

} // namespace acaciacross::membership

#endif
