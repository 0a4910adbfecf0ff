#ifndef ACACIACROSS_GATEWAY_REQUESTHANDLER_H
#define ACACIACROSS_GATEWAY_REQUESTHANDLER_H

#include "Http/ParseProblem.h"
#include "Http/Request.h"

#include <chrono>
#include <cstddef>
#include <memory>

namespace acaciacross::gateway {

class ServerConnection;

/// Answers the requests that arrive on the connections of a listener.
class RequestHandler {
public:
  virtual ~RequestHandler() = default;

  /// Must lead to exactly one call of ServerConnection::respond, unless the
  /// connection closes first.
  virtual void onRequest(const std::shared_ptr<ServerConnection> &Connection,
                         http::Request Request) = 0;
  /// The connection has closed; no response may be sent on it.
  virtual void onClosed(ServerConnection &Connection) = 0;
  /// A request could not be parsed, or (None) did not arrive in time. Must lead
  /// to a response like onRequest.
  virtual void onRequestError(ServerConnection &Connection,
                              http::ParseProblem Problem) = 0;

  /// The connection drops its unfinished request, because all connections
  /// together hold too much memory. Must lead to a response like onRequest.
  virtual void onRequestShed(ServerConnection &Connection) = 0;

  /// Whether the body that follows a head is needed. Without it, onRequest gets
  /// the request with IsBodyDropped set and must reject it.
  virtual bool wantsBody(const http::Request &Head) const = 0;
  virtual std::size_t maxHeadBytes() const = 0;
  virtual std::size_t maxBodyBytes() const = 0;
  virtual std::chrono::milliseconds headTimeout() const = 0;
  virtual std::chrono::milliseconds idleTimeout() const = 0;
  /// Whether each connection is to be closed after its current response.
  virtual bool isStopping() const = 0;
};

} // namespace acaciacross::gateway

#endif
