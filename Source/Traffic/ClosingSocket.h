#ifndef ACACIACROSS_TRAFFIC_CLOSINGSOCKET_H
#define ACACIACROSS_TRAFFIC_CLOSINGSOCKET_H

#include "Common/Address.h"
#include "Common/Time.h"

namespace acaciacross::traffic {

/// A socket that this VM has shut down for sending.
struct ClosingSocket {
  int Socket = -1;
  common::Address Endpoint;
  /// The searcher has ended its side, too.
  bool HasPeerEnded = false;
  common::MonotonicTime ReleaseAt;
};

} // namespace acaciacross::traffic

#endif
