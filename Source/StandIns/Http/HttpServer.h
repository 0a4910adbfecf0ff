#ifndef ACACIACROSS_STANDINS_HTTP_HTTPSERVER_H
#define ACACIACROSS_STANDINS_HTTP_HTTPSERVER_H

#include "Common/Address.h"
#include "StandIns/Http/ConnectionPolicy.h"
#include "StandIns/Http/HttpHandler.h"

struct MHD_Daemon;

namespace acaciacross::standins {

/// An HTTP server with one thread per connection.
class HttpServer {
public:
  /// Throws common::Error when the address can't be bound. Handler and
  /// Policy must outlive the server.
  HttpServer(const common::Address &Listen, HttpHandler &Handler,
             ConnectionPolicy &Policy);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// The bound port; when port 0 was requested, the one that the system chose.
  std::uint16_t port() const;

private:
  HttpHandler &Handler;
  MHD_Daemon *Daemon = nullptr;
};

} // namespace acaciacross::standins

#endif
