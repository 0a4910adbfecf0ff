#ifndef ACACIACROSS_FORWARDING_ATTEMPTSUMMARY_H
#define ACACIACROSS_FORWARDING_ATTEMPTSUMMARY_H

#include "Common/Identifiers.h"
#include "Forwarding/AttemptEnd.h"

#include <chrono>

namespace acaciacross::forwarding {

/// Summary of one attempt of a request, for the log.
struct AttemptSummary {
  common::ServiceName Service;
  common::SearcherId Searcher;
  AttemptEnd End = AttemptEnd::Lost;
  /// HTTP status of the searcher's response; 0 without a response.
  int Status = 0;
  /// Whether the attempt was abandoned before it ended.
  bool Abandoned = false;
  std::chrono::nanoseconds Duration{0};
};

} // namespace acaciacross::forwarding

#endif
