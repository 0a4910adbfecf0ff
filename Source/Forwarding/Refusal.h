#ifndef ACACIACROSS_FORWARDING_REFUSAL_H
#define ACACIACROSS_FORWARDING_REFUSAL_H

#include "Common/ResultCode.h"

#include <chrono>
#include <string>

namespace acaciacross::forwarding {

/// When the caller of a stopping VM should retry: another VM of the address
/// answer can take the request at once.
constexpr std::chrono::milliseconds StoppingRetryDelay{1};

/// Reason for rejecting a request before anything is sent, and when the caller
/// should retry.
struct Refusal {
  common::ResultCode Code = common::ResultCode::Overloaded;
  std::chrono::milliseconds RetryAfter{0};
  /// Expected time to an answer, and the allowed one; both 0 when the rejection
  /// has another reason.
  std::chrono::milliseconds Expected{0};
  std::chrono::milliseconds Allowed{0};
  /// The route that the request leaves room for, and that Expected and Allowed
  /// are of; empty when the request itself would be late.
  std::string YieldsTo = {};
};

} // namespace acaciacross::forwarding

#endif
