#ifndef ACACIACROSS_GATEWAY_UPSTREAMATTEMPT_H
#define ACACIACROSS_GATEWAY_UPSTREAMATTEMPT_H

#include "Forwarding/AttemptListener.h"
#include "Forwarding/ForwardRequest.h"
#include "Forwarding/ReplicaRecord.h"
#include "Forwarding/RouteStatistics.h"
#include "Gateway/UpstreamConnection.h"
#include "Net/TimerId.h"

#include <memory>
#include <optional>

namespace acaciacross::gateway {

/// An attempt that is under way.
struct UpstreamAttempt {
  forwarding::AttemptNumber Number;
  std::shared_ptr<const forwarding::ForwardRequest> Request;
  std::shared_ptr<forwarding::ReplicaRecord> Replica;
  std::shared_ptr<forwarding::RouteStatistics> Statistics;
  std::shared_ptr<UpstreamConnection> Connection;
  common::MonotonicTime StartedAt;
  common::MonotonicTime AnswerBy;
  /// Null when nobody waits for the result any more.
  forwarding::AttemptListener *Listener = nullptr;
  /// Ends an attempt for which nobody waits.
  std::optional<net::TimerId> LingerTimer;
};

} // namespace acaciacross::gateway

#endif
