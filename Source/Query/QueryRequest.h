#ifndef ACACIACROSS_QUERY_QUERYREQUEST_H
#define ACACIACROSS_QUERY_QUERYREQUEST_H

#include "Common/Identifiers.h"
#include "Common/Time.h"

#include <string>

namespace acaciacross::query {

/// A caller's request after its checks.
struct QueryRequest {
  common::RequestId Id;
  common::ClassName Class;
  std::string Body;

  /// The same deadline on both clocks of this VM: the monotonic one rules
  /// timers, the wall clock's is passed on to upstreams.
  common::MonotonicTime Deadline;
  common::WallTime WallDeadline;

  /// From this time on an answer that covers CoverageTarget is given without
  /// waiting for the rest.
  common::MonotonicTime LatencyTarget;
  /// Fraction of the documents, in (0, 1].
  double CoverageTarget = 1.0;

  bool Repeatable = true;
};

} // namespace acaciacross::query

#endif
