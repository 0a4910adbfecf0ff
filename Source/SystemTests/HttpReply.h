#ifndef ACACIACROSS_SYSTEMTESTS_HTTPREPLY_H
#define ACACIACROSS_SYSTEMTESTS_HTTPREPLY_H

#include <string>

namespace acaciacross::systemtests {

struct HttpReply {
  /// 0 when no whole reply came.
  long Status = 0;
  std::string Body;
  /// Why no whole reply came, in the words of libcurl.
  std::string Problem;
};

} // namespace acaciacross::systemtests

#endif
