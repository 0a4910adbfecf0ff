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

/// One request of a caller on its route.
struct ForwardRequest {
  common::RequestId Id;
  http::Request Message;
  /// How long the caller had waited when it sent this; empty when unknown.
  std::optional<std::chrono::milliseconds> WaitedBefore;
  common::MonotonicTime ArrivedAt;
  /// The caller or its route waits no longer than this.
  common::MonotonicTime AnswerBy;
  /// Keeps the version of the route for as long as the request lasts.
  std::shared_ptr<const RoutingTable> Table;
  const Route *Target = nullptr;
};

} // namespace acaciacross::forwarding

#endif
