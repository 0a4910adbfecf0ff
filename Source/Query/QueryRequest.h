#ifndef ACACIACROSS_QUERY_QUERYREQUEST_H
#define ACACIACROSS_QUERY_QUERYREQUEST_H

#include "Common/Identifiers.h"
#include "Common/Time.h"

#include <string>

namespace acaciacross::query {

/// A caller's request after validation.
struct QueryRequest {
  common::RequestId Id;
  common::ClassName Class;
  std::string Body;

  /// The same deadline on both clocks of this VM: the monotonic time sets the
  /// timers, the wall-clock time is passed on to upstreams.
  common::MonotonicTime Deadline;
  common::WallTime WallDeadline;

  /// From this time on, an answer that covers CoverageTarget is returned
  /// without waiting for the remaining shards.
  common::MonotonicTime LatencyTarget;
  /// Fraction of the documents that an answer at LatencyTarget should cover, in
  /// (0, 1].
  double CoverageTarget = 1.0;

  /// Whether the request may run more than once on a shard.
  bool Repeatable = true;
};

} // namespace acaciacross::query

#endif
