#ifndef ACACIACROSS_FRONTEND_RAWRESPONSE_H
#define ACACIACROSS_FRONTEND_RAWRESPONSE_H

#include "Frontend/HttpResponse.h"

#include <string>

namespace acaciacross::frontend {

/// Bytes of a response that closes its connection. For responses that are sent
/// while a body is being read, when libmicrohttpd accepts none.
std::string encodeRawResponse(const HttpResponse &Response);

} // namespace acaciacross::frontend

#endif
