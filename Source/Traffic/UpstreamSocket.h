#ifndef ACACIACROSS_TRAFFIC_UPSTREAMSOCKET_H
#define ACACIACROSS_TRAFFIC_UPSTREAMSOCKET_H

#include "Common/Address.h"

#include <cstdint>

namespace acaciacross::traffic {

/// A socket to a searcher that libcurl holds.
struct UpstreamSocket {
  common::Address Endpoint;
  /// The connection was shut down, but libcurl has not closed the socket yet.
  bool IsShutDown = false;
};

} // namespace acaciacross::traffic

#endif
