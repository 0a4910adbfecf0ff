#ifndef ACACIACROSS_FORWARDING_REFUSAL_H
#define ACACIACROSS_FORWARDING_REFUSAL_H

#include "Common/ResultCode.h"

#include <chrono>

namespace acaciacross::forwarding {

/// Why a request is rejected before anything is sent, and when to ask again.
struct Refusal {
  common::ResultCode Code = common::ResultCode::Overloaded;
  std::chrono::milliseconds RetryAfter{0};
  /// What an answer was expected to take, and what was allowed; 0 when time was
  /// not the reason.
  std::chrono::milliseconds Expected{0};
  std::chrono::milliseconds Allowed{0};
};

} // namespace acaciacross::forwarding

#endif
