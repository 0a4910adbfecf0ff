#ifndef ACACIACROSS_FORWARDING_WAITINGPARTS_H
#define ACACIACROSS_FORWARDING_WAITINGPARTS_H

#include "Common/Time.h"

#include <chrono>
#include <cstddef>

namespace acaciacross::forwarding {

/// Decides whether the parts of a query that have not been sent are still
/// needed. In an overload, parts wait for a connection until a partial answer
/// is due without them; sending them then would take the connections and
/// searchers of other queries for nothing.
struct WaitingParts {
  std::size_t AnsweredCount = 0;
  /// Parts whose attempt has taken no longer than usual so far.
  std::size_t ExpectedCount = 0;
  /// Parts that an answer needs.
  std::size_t MinCount = 1;
  /// From then on a partial answer is given.
  common::MonotonicTime PartialAllowedFrom;
  /// Shortest latency of an attempt.
  std::chrono::nanoseconds ShortestLatency{0};

  bool areNeeded(common::MonotonicTime Now) const;
};

} // namespace acaciacross::forwarding

#endif
