#ifndef ACACIACROSS_GATEWAY_IDLECONNECTION_H
#define ACACIACROSS_GATEWAY_IDLECONNECTION_H

#include "Common/Time.h"
#include "Gateway/UpstreamConnection.h"

#include <chrono>
#include <memory>
#include <optional>

namespace acaciacross::gateway {

/// An open connection that carries no request.
struct IdleConnection {
  std::shared_ptr<UpstreamConnection> Connection;
  common::MonotonicTime IdleSince;
  /// How long the searcher keeps it open; empty when unknown.
  std::optional<std::chrono::seconds> IdleTimeout;
};

} // namespace acaciacross::gateway

#endif
