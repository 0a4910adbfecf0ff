#ifndef ACACIACROSS_SYSTEMTESTS_HTTPCALLER_H
#define ACACIACROSS_SYSTEMTESTS_HTTPCALLER_H

#include "SystemTests/HttpReply.h"

#include <chrono>
#include <string>

namespace acaciacross::systemtests {

/// Sends blocking HTTP calls, each on a new connection.
class HttpCaller {
public:
  /// Sends one call to Target, which has the form "host:port/path".
  static HttpReply
  call(const std::string &Method, const std::string &Target,
       const std::string &Body = "",
       std::chrono::milliseconds Timeout = std::chrono::seconds(5));
};

} // namespace acaciacross::systemtests

#endif
