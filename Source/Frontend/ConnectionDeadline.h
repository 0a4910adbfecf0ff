#ifndef ACACIACROSS_FRONTEND_CONNECTIONDEADLINE_H
#define ACACIACROSS_FRONTEND_CONNECTIONDEADLINE_H

#include "Common/Time.h"
#include "Frontend/ConnectionPhase.h"

namespace acaciacross::frontend {

/// Time until which a connection may stay in a phase.
struct ConnectionDeadline {
  common::MonotonicTime At;
  ConnectionPhase Phase = ConnectionPhase::Idle;
};

} // namespace acaciacross::frontend

#endif
