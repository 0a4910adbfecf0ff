#ifndef ACACIACROSS_FRONTEND_CALLERREQUEST_H
#define ACACIACROSS_FRONTEND_CALLERREQUEST_H

#include "Common/Time.h"

#include <optional>
#include <string>

namespace acaciacross::frontend {

/// An HTTP request that was read to its end.
struct CallerRequest {
  std::string Method;
  std::string Path;
  /// The argument "after" of the query string.
  std::optional<std::string> After;
  /// Up to the limit on bodies.
  std::string Body;
  /// The body went on beyond the limit.
  bool IsTooLarge = false;
  /// There was no memory for the whole body.
  bool IsOverloaded = false;
  /// When its first line had been read.
  common::MonotonicTime ReceivedAt;
};

} // namespace acaciacross::frontend

#endif
