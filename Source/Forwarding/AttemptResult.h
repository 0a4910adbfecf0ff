#ifndef ACACIACROSS_FORWARDING_ATTEMPTRESULT_H
#define ACACIACROSS_FORWARDING_ATTEMPTRESULT_H

#include "Forwarding/AttemptEnd.h"
#include "Http/Response.h"

#include <string>

namespace acaciacross::forwarding {

/// Result of one attempt.
struct AttemptResult {
  AttemptEnd End = AttemptEnd::Lost;
  /// Set when the searcher responded.
  http::Response Response;
  /// The stamp by which the searcher proves that the response is its own; empty
  /// without one.
  std::string Stamp;
};

} // namespace acaciacross::forwarding

#endif
