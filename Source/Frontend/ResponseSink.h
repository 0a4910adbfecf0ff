#ifndef ACACIACROSS_FRONTEND_RESPONSESINK_H
#define ACACIACROSS_FRONTEND_RESPONSESINK_H

#include "Frontend/HttpResponse.h"

#include <functional>

namespace acaciacross::frontend {

/// Takes the response to one call. Called once, on any thread.
class ResponseSink {
public:
  virtual ~ResponseSink() = default;

  /// Make runs later on a thread of the front end, so that traffic threads
  /// spend no time on encoding.
  virtual void respond(std::function<HttpResponse()> Make) = 0;
};

} // namespace acaciacross::frontend

#endif
