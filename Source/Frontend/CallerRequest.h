#ifndef ACACIACROSS_FRONTEND_CALLERREQUEST_H
#define ACACIACROSS_FRONTEND_CALLERREQUEST_H

#include "Common/Time.h"

#include <optional>
#include <string>

namespace acaciacross::frontend {

/// An HTTP request that was read completely.
struct CallerRequest {
  std::string Method;
  std::string Path;
  /// Value of the parameter "after" in the query string.
  std::optional<std::string> After;
  /// Truncated at CallerServerSettings::MaxBodyBytes.
  std::string Body;
  /// Whether the body exceeds MaxBodyBytes.
  bool IsTooLarge = false;
  /// Whether MaxBufferedBytes left no room for the body.
  bool IsOverloaded = false;
  /// When the request line and the headers had been read.
  common::MonotonicTime ReceivedAt;
};

} // namespace acaciacross::frontend

#endif
