#ifndef ACACIACROSS_FORWARDING_ATTEMPTRESULT_H
#define ACACIACROSS_FORWARDING_ATTEMPTRESULT_H

#include "Forwarding/AttemptEnd.h"
#include "Http/Response.h"

#include <string>

namespace acaciacross::forwarding {

/// The outcome of one attempt.
struct AttemptResult {
  AttemptEnd End = AttemptEnd::Lost;
  /// Set when the searcher answered.
  http::Response Response;
  /// The searcher's proof of its answer; empty when it gave none.
  std::string Stamp;
};

} // namespace acaciacross::forwarding

#endif
