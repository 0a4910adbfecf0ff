#ifndef ACACIACROSS_SYSTEMTESTS_HTTPREPLY_H
#define ACACIACROSS_SYSTEMTESTS_HTTPREPLY_H

#include <string>

namespace acaciacross::systemtests {

struct HttpReply {
  /// HTTP status code; 0 without a complete reply.
  long Status = 0;
  std::string Body;
  /// The libcurl error text without a complete reply; empty otherwise.
  std::string Error;
};

} // namespace acaciacross::systemtests

#endif
