#ifndef ACACIACROSS_TRAFFIC_SOCKETCLOSESINK_H
#define ACACIACROSS_TRAFFIC_SOCKETCLOSESINK_H

#include "Common/Address.h"

namespace acaciacross::traffic {

/// Notified when a connection to an endpoint starts to close.
class SocketCloseSink {
public:
  virtual ~SocketCloseSink() = default;

  virtual void onClosing(const common::Address &Endpoint) = 0;
};

} // namespace acaciacross::traffic

#endif
