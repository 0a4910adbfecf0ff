#ifndef ACACIACROSS_PLATFORM_HTTPREPLY_H
#define ACACIACROSS_PLATFORM_HTTPREPLY_H

#include <string>

namespace acaciacross::platform {

/// End of a request to the platform.
struct HttpReply {
  /// HTTP status; 0 when there was no whole reply.
  long Status = 0;
  std::string Body;
  /// Why there was no reply.
  std::string Error;
  /// Given up because this VM wanted it no more.
  bool Cancelled = false;
};

} // namespace acaciacross::platform

#endif
