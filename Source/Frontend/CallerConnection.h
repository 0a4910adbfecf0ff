#ifndef ACACIACROSS_FRONTEND_CALLERCONNECTION_H
#define ACACIACROSS_FRONTEND_CALLERCONNECTION_H

#include "Frontend/CallerRequest.h"
#include "Frontend/PendingCall.h"

#include <cstddef>
#include <memory>

namespace acaciacross::frontend {

/// One request on a connection, from its headers to the end of its response.
struct CallerConnection {
  CallerRequest Request;
  /// Bytes of the body so far, those that were not kept included.
  std::size_t BodyBytes = 0;
  /// Set once the request runs.
  std::shared_ptr<PendingCall> Call;
};

} // namespace acaciacross::frontend

#endif
