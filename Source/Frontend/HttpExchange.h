#ifndef ACACIACROSS_FRONTEND_HTTPEXCHANGE_H
#define ACACIACROSS_FRONTEND_HTTPEXCHANGE_H

#include "Frontend/CallerRequest.h"
#include "Frontend/PendingCall.h"

#include <cstddef>
#include <memory>

namespace acaciacross::frontend {

/// State of one request, from its headers to the end of its response.
struct HttpExchange {
  CallerRequest Request;
  /// Bytes of the body received so far, including discarded ones.
  std::size_t BodyBytes = 0;
  /// Set when the request has been dispatched.
  std::shared_ptr<PendingCall> Pending;
};

} // namespace acaciacross::frontend

#endif
