#ifndef ACACIACROSS_MEMBERSHIP_PENDINGPROBE_H
#define ACACIACROSS_MEMBERSHIP_PENDINGPROBE_H

#include "Common/Address.h"
#include "Common/Time.h"

namespace acaciacross::membership {

/// A probe that was sent and may still be acknowledged.
struct PendingProbe {
  common::Address To;
  common::MonotonicTime SentAt;
};

} // namespace acaciacross::membership

#endif
