#ifndef ACACIACROSS_FORWARDING_FORWARDREQUEST_H
#define ACACIACROSS_FORWARDING_FORWARDREQUEST_H

#include "Common/Identifiers.h"
#include "Common/Time.h"
#include "Forwarding/Route.h"
#include "Forwarding/RoutingTable.h"
#include "Http/Request.h"

#include <chrono>
#include <memory>
#include <optional>

namespace acaciacross::forwarding {

/// A request of a caller and the route that it takes.
struct ForwardRequest {
  common::RequestId Id;
  common::CallerHost Caller;
  http::Request Message;
  /// How long the caller had waited when it sent the request; empty when
  /// unknown.
  std::optional<std::chrono::milliseconds> WaitedBefore;
  common::MonotonicTime ArrivedAt;
  /// Deadline: the earlier one of the caller and the route.
  common::MonotonicTime Deadline;
  /// Keeps the routing table alive that Target points into.
  std::shared_ptr<const RoutingTable> Table;
  const Route *Target = nullptr;

  /// Latest time at which an attempt can start and still be answered within
  /// the latency target. Typical: typical latency of an attempt.
  common::MonotonicTime latestStart(std::chrono::nanoseconds Typical) const;
};

} // namespace acaciacross::forwarding

#endif
