#ifndef ACACIACROSS_TRAFFIC_REGISTEREDATTEMPT_H
#define ACACIACROSS_TRAFFIC_REGISTEREDATTEMPT_H

#include "Common/Identifiers.h"
#include "Common/Time.h"

#include <cstdint>

namespace acaciacross::traffic {

/// The query, searcher and start time of a running attempt.
struct RegisteredAttempt {
  std::uint64_t Query = 0;
  common::SearcherIndex Searcher;
  common::MonotonicTime StartedAt;
};

} // namespace acaciacross::traffic

#endif
