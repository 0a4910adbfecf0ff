#ifndef ACACIACROSS_SYSTEMTESTS_HTTPCALLER_H
#define ACACIACROSS_SYSTEMTESTS_HTTPCALLER_H

#include "SystemTests/HttpReply.h"

#include <chrono>
#include <string>

namespace acaciacross::systemtests {

/// One HTTP call at a time, each on its own connection, as a caller makes it.
class HttpCaller {
public:
  /// Target is "host:port/path".
  static HttpReply
  call(const std::string &Method, const std::string &Target,
       const std::string &Body = "",
       std::chrono::milliseconds Longest = std::chrono::seconds(5));
};

} // namespace acaciacross::systemtests

#endif
