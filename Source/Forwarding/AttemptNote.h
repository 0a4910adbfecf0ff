#ifndef ACACIACROSS_FORWARDING_ATTEMPTNOTE_H
#define ACACIACROSS_FORWARDING_ATTEMPTNOTE_H

#include "Common/Identifiers.h"
#include "Forwarding/AttemptEnd.h"

#include <chrono>

namespace acaciacross::forwarding {

/// Summary of one attempt of a request, for the log.
struct AttemptNote {
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
