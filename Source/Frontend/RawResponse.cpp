#include "Frontend/RawResponse.h"

#include <microhttpd.h>

namespace acaciacross::frontend {

std::string encodeRawResponse(const HttpResponse &Response) {
  return "HTTP/1.1 " + std::to_string(Response.Status) + " " +
         ::MHD_get_reason_phrase_for(Response.Status) +
         "\r\nContent-Type: " + Response.ContentType +
         "\r\nConnection: close\r\nContent-Length: " +
         std::to_string(Response.Body.size()) + "\r\n\r\n" + Response.Body;
}

} // namespace acaciacross::frontend
