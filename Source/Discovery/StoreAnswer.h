#ifndef ACACIACROSS_DISCOVERY_STOREANSWER_H
#define ACACIACROSS_DISCOVERY_STOREANSWER_H

#include "Common/StorePosition.h"
#include "Common/Time.h"
#include "Discovery/ReadConsistency.h"

namespace acaciacross::discovery {

/// What is known of an answer of the store beside its content.
struct StoreAnswer {
  ReadConsistency Consistency = ReadConsistency::Current;
  /// With the content all changes up to this position are known.
  common::StorePosition Position;
  /// When the first call of the answer was made.
  common::MonotonicTime CalledAt;
  /// The latest time at which the store can have given the answer, which may
  /// have waited in a buffer while this VM was paused.
  common::MonotonicTime GivenAt;
  /// When the answer was complete.
  common::MonotonicTime ReceivedAt;
};

} // namespace acaciacross::discovery

#endif
