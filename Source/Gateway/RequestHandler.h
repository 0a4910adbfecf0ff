#ifndef ACACIACROSS_GATEWAY_REQUESTHANDLER_H
#define ACACIACROSS_GATEWAY_REQUESTHANDLER_H

#include "Http/ParseProblem.h"
#include "Http/Request.h"

#include <chrono>
#include <cstddef>
#include <memory>

namespace acaciacross::gateway {

class ServerConnection;

/// Answers the requests of a listener's connections.
class RequestHandler {
public:
  virtual ~RequestHandler() = default;

  /// Must lead to one call of respond, unless the connection closes before.
  virtual void onRequest(const std::shared_ptr<ServerConnection> &Connection,
                         http::Request Request) = 0;
  /// The connection has closed; it waits for no response any more.
  virtual void onClosed(ServerConnection &Connection) = 0;
  /// A request that cannot be read, or (None) did not arrive in time.
  virtual void onUnreadable(ServerConnection &Connection,
                            http::ParseProblem Problem) = 0;

  virtual std::size_t maxHeadBytes() const = 0;
  virtual std::size_t maxBodyBytes() const = 0;
  virtual std::chrono::milliseconds headTimeout() const = 0;
  virtual std::chrono::milliseconds idleTimeout() const = 0;
  /// Whether connections are to be closed after the present response.
  virtual bool isStopping() const = 0;
};

} // namespace acaciacross::gateway

#endif
