#ifndef ACACIACROSS_GATEWAY_UPSTREAMLISTENER_H
#define ACACIACROSS_GATEWAY_UPSTREAMLISTENER_H

#include "Http/Response.h"

#include <cstddef>
#include <memory>

namespace acaciacross::gateway {

class UpstreamConnection;

/// Receives the events of connections to searchers.
class UpstreamListener {
public:
  virtual ~UpstreamListener() = default;

  /// The connection is established; a request can be sent.
  virtual void onConnected(UpstreamConnection &Connection) = 0;
  /// A complete response has arrived. Returns whether it answers the current
  /// request; if not, the connection ignores it. MayReuse: the connection can
  /// carry another request.
  virtual bool onResponse(UpstreamConnection &Connection,
                          http::Response Response, bool MayReuse) = 0;
  /// A response is incomplete and holds this much memory. The listener may
  /// abort the connection.
  virtual void onBuffered(UpstreamConnection &Connection,
                          std::size_t Bytes) = 0;
  /// The connection has closed. WasSent: at least a part of the current request
  /// may have reached the searcher.
  virtual void onUpstreamClosed(UpstreamConnection &Connection,
                                bool WasSent) = 0;
};

} // namespace acaciacross::gateway

#endif
