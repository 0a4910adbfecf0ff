#ifndef ACACIACROSS_TRAFFIC_CLOSINGSOCKET_H
#define ACACIACROSS_TRAFFIC_CLOSINGSOCKET_H

#include "Common/Address.h"
#include "Common/Time.h"

namespace acaciacross::traffic {

/// A socket that this VM has shut down for sending and whose end the searcher
/// has not confirmed.
struct ClosingSocket {
  int Socket = -1;
  common::Address Endpoint;
  common::MonotonicTime GiveUpAt;
};

} // namespace acaciacross::traffic

#endif
