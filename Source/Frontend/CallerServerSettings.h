#ifndef ACACIACROSS_FRONTEND_CALLERSERVERSETTINGS_H
#define ACACIACROSS_FRONTEND_CALLERSERVERSETTINGS_H

#include "Common/Address.h"

#include <chrono>
#include <cstddef>

namespace acaciacross::frontend {

/// Address and limits of the HTTP server for callers.
struct CallerServerSettings {
  /// Port 0 selects any free port.
  common::Address ListenAddress;
  unsigned ThreadCount = 2;

  std::size_t MaxBodyBytes = std::size_t{1} << 20;
  /// Sum over the bodies of all requests that are being read or run.
  std::size_t MaxBufferedBytes = std::size_t{256} << 20;
  unsigned MaxConnections = 4096;
  /// Keeps one caller from using up all connections.
  unsigned MaxConnectionsPerCaller = 1024;

  /// For the headers of the first request of a connection, and for each request
  /// body.
  std::chrono::milliseconds ReadTimeout{10'000};
  /// From the end of a response to the end of the next request's headers.
  std::chrono::milliseconds IdleTimeout{60'000};
  /// For the caller to receive the response.
  std::chrono::milliseconds WriteTimeout{30'000};
};

} // namespace acaciacross::frontend

#endif
