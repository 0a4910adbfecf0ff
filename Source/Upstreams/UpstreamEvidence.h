#ifndef ACACIACROSS_UPSTREAMS_UPSTREAMEVIDENCE_H
#define ACACIACROSS_UPSTREAMS_UPSTREAMEVIDENCE_H

#include "Common/Identifiers.h"
#include "Common/Time.h"
#include "Query/AttemptStatus.h"

#include <chrono>

namespace acaciacross::upstreams {

/// Result of one attempt at a searcher, as input for judging its state.
struct UpstreamEvidence {
  common::SearcherIndex Searcher;
  query::AttemptStatus Status = query::AttemptStatus::Answered;
  common::MonotonicTime At;
  std::chrono::nanoseconds Elapsed{0};
  bool IsDraining = false;
};

} // namespace acaciacross::upstreams

#endif
