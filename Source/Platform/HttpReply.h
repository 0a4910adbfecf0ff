#ifndef ACACIACROSS_PLATFORM_HTTPREPLY_H
#define ACACIACROSS_PLATFORM_HTTPREPLY_H

#include <map>
#include <string>

namespace acaciacross::platform {

/// Outcome of a request to the platform.
struct HttpReply {
  /// HTTP status; 0 when no complete reply arrived.
  long Status = 0;
  std::string Body;
  /// The fields of the head by name in lower case. Of a field that occurs more
  /// than once the values are joined by commas. Long or many fields are left
  /// out.
  std::map<std::string, std::string> Headers = {};
  /// Why no complete reply arrived; empty otherwise.
  std::string Error;
  /// Whether this VM cancelled the request.
  bool IsCancelled = false;
};

} // namespace acaciacross::platform

#endif
