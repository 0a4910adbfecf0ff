#ifndef ACACIACROSS_FRONTEND_RESPONSESINK_H
#define ACACIACROSS_FRONTEND_RESPONSESINK_H

#include "Frontend/HttpResponse.h"

#include <functional>

namespace acaciacross::frontend {

/// Receives the response to one request. respond is called once, on any thread.
class ResponseSink {
public:
  virtual ~ResponseSink() = default;

  /// Encoder runs later on a thread of the HTTP server, so that traffic threads
  /// spend no time on encoding.
  virtual void respond(std::function<HttpResponse()> Encoder) = 0;
};

} // namespace acaciacross::frontend

#endif
