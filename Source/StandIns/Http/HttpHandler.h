#ifndef ACACIACROSS_STANDINS_HTTP_HTTPHANDLER_H
#define ACACIACROSS_STANDINS_HTTP_HTTPHANDLER_H

#include "StandIns/Http/HttpRequest.h"
#include "StandIns/Http/HttpResponse.h"

namespace acaciacross::standins {

/// Handles the requests of an HttpServer, which calls it on one thread for each
/// connection.
class HttpHandler {
public:
  virtual ~HttpHandler() = default;

  virtual HttpResponse handle(const HttpRequest &Request) = 0;

  /// Makes handle() calls that are waiting return soon. Called before the
  /// server stops.
  virtual void stop() {}
};

} // namespace acaciacross::standins

#endif
