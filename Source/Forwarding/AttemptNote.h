#ifndef ACACIACROSS_FORWARDING_ATTEMPTNOTE_H
#define ACACIACROSS_FORWARDING_ATTEMPTNOTE_H

#include "Common/Identifiers.h"
#include "Forwarding/AttemptEnd.h"

#include <chrono>

namespace acaciacross::forwarding {

/// One attempt of a request, kept for the log.
struct AttemptNote {
  common::ServiceName Service;
  common::SearcherId Searcher;
  AttemptEnd End = AttemptEnd::Lost;
  /// Status of the searcher's answer; 0 for none.
  int Status = 0;
  /// Whether it was given up before its end.
  bool Abandoned = false;
  std::chrono::nanoseconds Duration{0};
};

} // namespace acaciacross::forwarding

#endif
