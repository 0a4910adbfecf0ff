#ifndef ACACIACROSS_FORWARDING_URGENCY_H
#define ACACIACROSS_FORWARDING_URGENCY_H

#include "Common/Identifiers.h"
#include "Common/Time.h"

namespace acaciacross::forwarding {

/// What decides the place of an attempt among those that wait for a connection.
struct Urgency {
  /// Priority of the route; 0 is the most urgent.
  int Priority = 0;
  /// Latest time at which the attempt can start and still be answered within
  /// the latency target.
  common::MonotonicTime LatestStart;
  common::CallerHost Caller;
};

} // namespace acaciacross::forwarding

#endif
