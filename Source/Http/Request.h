#ifndef ACACIACROSS_HTTP_REQUEST_H
#define ACACIACROSS_HTTP_REQUEST_H

#include "Http/HeaderList.h"

#include <string>

namespace acaciacross::http {

/// A request with its complete body.
struct Request {
  std::string Method;
  /// Path and query, unchanged from the request line.
  std::string Target;
  HeaderList Headers;
  std::string Body;
  /// Whether the body was not kept, because the head alone decided that the
  /// request is rejected.
  bool IsBodyDropped = false;
  /// Whether the connection may carry another request.
  bool KeepAlive = false;
};

} // namespace acaciacross::http

#endif
