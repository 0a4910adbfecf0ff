#ifndef ACACIACROSS_MEMBERSHIP_STOPSEQUENCE_H
#define ACACIACROSS_MEMBERSHIP_STOPSEQUENCE_H

#include "Common/Time.h"
#include "Membership/StopPhase.h"

namespace acaciacross::membership {

/// Decides when a stopping VM closes its caller port and when it may exit.
class StopSequence {
public:
  /// Starts the stop. From now on every acknowledgement must report "leaving".
  /// CloseBy: the latest time to close the port. Further calls have no effect.
  void begin(common::MonotonicTime Now,
             common::MonotonicTime CloseBy = common::MonotonicTime::max());

  /// Moves to the next phase if the time and the callers allow it. HasCallers:
  /// whether the port or a connection of a caller is still open. Returns the
  /// current phase.
  StopPhase advance(common::MonotonicTime Now, bool HasCallers);

  StopPhase phase() const;

private:
  common::MonotonicTime ClosesAt;
  StopPhase Phase = StopPhase::Running;
};

} // namespace acaciacross::membership

#endif
