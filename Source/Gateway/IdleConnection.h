#ifndef ACACIACROSS_GATEWAY_IDLECONNECTION_H
#define ACACIACROSS_GATEWAY_IDLECONNECTION_H

#include "Common/Time.h"
#include "Gateway/UpstreamConnection.h"

#include <chrono>
#include <memory>
#include <optional>

namespace acaciacross::gateway {

/// An open connection without a request.
struct IdleConnection {
  std::shared_ptr<UpstreamConnection> Connection;
  common::MonotonicTime Since;
  /// How long the searcher keeps it, as far as it said so.
  std::optional<std::chrono::seconds> Lifetime;
};

} // namespace acaciacross::gateway

#endif
