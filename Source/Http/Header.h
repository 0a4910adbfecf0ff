#ifndef ACACIACROSS_HTTP_HEADER_H
#define ACACIACROSS_HTTP_HEADER_H

#include <string>

namespace acaciacross::http {

/// One header field as it was received.
struct Header {
  std::string Name;
  std::string Value;
};

} // namespace acaciacross::http

#endif
