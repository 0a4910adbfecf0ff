#ifndef ACACIACROSS_GATEWAY_UPSTREAMLISTENER_H
#define ACACIACROSS_GATEWAY_UPSTREAMLISTENER_H

#include "Http/Response.h"

#include <memory>

namespace acaciacross::gateway {

class UpstreamConnection;

/// Told of the events of its connections to searchers.
class UpstreamListener {
public:
  virtual ~UpstreamListener() = default;

  /// The connection stands; the request can be sent.
  virtual void onConnected(UpstreamConnection &Connection) = 0;
  /// A whole response. Gives whether it answers the present request; another
  /// one is passed over. MayReuse: the connection can carry a further request.
  virtual bool onResponse(UpstreamConnection &Connection,
                          http::Response Response, bool MayReuse) = 0;
  /// The connection is closed. WasSent: a part of the present request may have
  /// reached the searcher.
  virtual void onUpstreamClosed(UpstreamConnection &Connection,
                                bool WasSent) = 0;
};

} // namespace acaciacross::gateway

#endif
