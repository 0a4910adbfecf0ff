#ifndef ACACIACROSS_FRONTEND_RAWRESPONSE_H
#define ACACIACROSS_FRONTEND_RAWRESPONSE_H

#include "Frontend/HttpResponse.h"

#include <string>

namespace acaciacross::frontend {

/// The bytes of a response that closes its connection, for use where
/// libmicrohttpd accepts none: it takes no response while it reads a body.
std::string encodeRawResponse(const HttpResponse &Response);

} // namespace acaciacross::frontend

#endif
