#ifndef ACACIACROSS_FRONTEND_CONNECTIONLIMIT_H
#define ACACIACROSS_FRONTEND_CONNECTIONLIMIT_H

#include "Common/Time.h"
#include "Frontend/ConnectionPhase.h"

namespace acaciacross::frontend {

/// Until when a connection may stay in a phase.
struct ConnectionLimit {
  common::MonotonicTime At;
  ConnectionPhase Phase = ConnectionPhase::Idle;
};

} // namespace acaciacross::frontend

#endif
