#ifndef ACACIACROSS_TRAFFIC_CLOSINGSOCKET_H
#define ACACIACROSS_TRAFFIC_CLOSINGSOCKET_H

#include "Common/Address.h"
#include "Common/Time.h"

namespace acaciacross::traffic {

/// A connection that this VM has shut down for sending and not yet closed.
struct ClosingSocket {
  int Socket = -1;
  common::Address Endpoint;
  /// Whether the searcher has closed its side, too.
  bool HasPeerClosed = false;
  common::MonotonicTime CloseAt;
};

} // namespace acaciacross::traffic

#endif
