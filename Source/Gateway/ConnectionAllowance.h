#ifndef ACACIACROSS_GATEWAY_CONNECTIONALLOWANCE_H
#define ACACIACROSS_GATEWAY_CONNECTIONALLOWANCE_H

#include <chrono>
#include <cstddef>

namespace acaciacross::gateway {

/// Bounds the connections that a listener holds at a time.
class ConnectionAllowance {
public:
  virtual ~ConnectionAllowance() = default;

  virtual std::size_t maxConnections() const = 0;
  /// How long a connection without progress is spared when another one needs
  /// its descriptor.
  virtual std::chrono::milliseconds minIdleTime() const = 0;
};

} // namespace acaciacross::gateway

#endif
