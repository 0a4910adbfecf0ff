#ifndef ACACIACROSS_FRONTEND_CALLERSERVERSETTINGS_H
#define ACACIACROSS_FRONTEND_CALLERSERVERSETTINGS_H

#include "Common/Address.h"

#include <chrono>
#include <cstddef>

namespace acaciacross::frontend {

/// Address and limits of the HTTP server for callers.
struct CallerServerSettings {
  /// Port 0: any free one.
  common::Address Listen;
  unsigned Threads = 2;

  std::size_t MaxBodyBytes = std::size_t{1} << 20;
  /// Bodies of all requests together that are being read or run.
  std::size_t MaxBufferedBytes = std::size_t{256} << 20;
  unsigned MaxConnections = 4096;
  /// One caller must not take all connections from the others.
  unsigned MaxConnectionsPerCaller = 1024;

  /// For the headers of the first request of a connection, and for each body.
  std::chrono::milliseconds ReadTime{10'000};
  /// From the end of a response to the end of the next request's headers.
  std::chrono::milliseconds IdleTime{60'000};
  /// To take the response.
  std::chrono::milliseconds WriteTime{30'000};
};

} // namespace acaciacross::frontend

#endif
