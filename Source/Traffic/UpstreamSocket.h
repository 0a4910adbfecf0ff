#ifndef ACACIACROSS_TRAFFIC_UPSTREAMSOCKET_H
#define ACACIACROSS_TRAFFIC_UPSTREAMSOCKET_H

#include "Common/Address.h"

#include <cstdint>

namespace acaciacross::traffic {

/// A socket that libcurl holds.
struct UpstreamSocket {
  common::Address Endpoint;
  /// This VM tells the searcher that it is closed; libcurl has yet to notice.
  bool IsShutDown = false;
};

} // namespace acaciacross::traffic

#endif
