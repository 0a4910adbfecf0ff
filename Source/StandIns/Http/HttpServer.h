#ifndef ACACIACROSS_STANDINS_HTTP_HTTPSERVER_H
#define ACACIACROSS_STANDINS_HTTP_HTTPSERVER_H

#include "Common/Address.h"
#include "StandIns/Http/ConnectionObserver.h"
#include "StandIns/Http/HttpHandler.h"

struct MHD_Daemon;

namespace acaciacross::standins {

/// An HTTP server with one thread per connection.
class HttpServer {
public:
  /// Throws common::Error when the address can't be bound. Handler and
  /// Observer outlive the server.
  HttpServer(const common::Address &Listen, HttpHandler &Requests,
             ConnectionObserver &Connections);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// The port, also when 0 was asked for.
  std::uint16_t port() const;

private:
  HttpHandler &Requests;
  MHD_Daemon *Daemon = nullptr;
};

} // namespace acaciacross::standins

#endif
