#ifndef ACACIACROSS_GATEWAY_IDLECLAIM_H
#define ACACIACROSS_GATEWAY_IDLECLAIM_H

#include "Common/Time.h"

namespace acaciacross::gateway {

/// A connection of a caller on which this VM waits for the caller.
struct IdleClaim {
  /// Whether it has brought a request before.
  bool HasReadRequest = false;
  /// When the caller last sent or read anything.
  common::MonotonicTime IdleSince;
};

} // namespace acaciacross::gateway

#endif
