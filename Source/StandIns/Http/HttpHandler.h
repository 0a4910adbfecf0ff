#ifndef ACACIACROSS_STANDINS_HTTP_HTTPHANDLER_H
#define ACACIACROSS_STANDINS_HTTP_HTTPHANDLER_H

#include "StandIns/Http/HttpRequest.h"
#include "StandIns/Http/HttpResponse.h"

namespace acaciacross::standins {

/// Answers requests; called on one thread per connection.
class HttpHandler {
public:
  virtual ~HttpHandler() = default;

  virtual HttpResponse handle(const HttpRequest &Request) = 0;

  /// Makes calls that wait return soon.
  virtual void stop() {}
};

} // namespace acaciacross::standins

#endif
