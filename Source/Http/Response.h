#ifndef ACACIACROSS_HTTP_RESPONSE_H
#define ACACIACROSS_HTTP_RESPONSE_H

#include "Http/HeaderList.h"

#include <string>

namespace acaciacross::http {

/// A response with its complete body.
struct Response {
  int Status = 0;
  HeaderList Headers;
  std::string Body;
  /// Whether the connection may carry another request.
  bool KeepAlive = false;
};

} // namespace acaciacross::http

#endif
