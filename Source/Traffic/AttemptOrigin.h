#ifndef ACACIACROSS_TRAFFIC_ATTEMPTORIGIN_H
#define ACACIACROSS_TRAFFIC_ATTEMPTORIGIN_H

#include "Common/Identifiers.h"
#include "Common/Time.h"

#include <cstdint>

namespace acaciacross::traffic {

/// Which query an attempt belongs to and where it went.
struct AttemptOrigin {
  std::uint64_t Query = 0;
  common::SearcherIndex Searcher;
  common::MonotonicTime StartedAt;
};

} // namespace acaciacross::traffic

#endif
