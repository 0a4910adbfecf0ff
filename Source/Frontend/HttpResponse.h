#ifndef ACACIACROSS_FRONTEND_HTTPRESPONSE_H
#define ACACIACROSS_FRONTEND_HTTPRESPONSE_H

#include <string>

namespace acaciacross::frontend {

/// An HTTP response before it is sent.
struct HttpResponse {
  unsigned Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
};

} // namespace acaciacross::frontend

#endif
