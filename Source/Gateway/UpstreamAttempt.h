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

/// An attempt in progress.
struct UpstreamAttempt {
  forwarding::AttemptNumber Number;
  std::shared_ptr<const forwarding::ForwardRequest> Request;
  std::shared_ptr<forwarding::ReplicaRecord> Replica;
  std::shared_ptr<forwarding::RouteStatistics> Statistics;
  std::shared_ptr<UpstreamConnection> Connection;
  common::MonotonicTime StartedAt;
  common::MonotonicTime Deadline;
  /// Null once the attempt is abandoned.
  forwarding::AttemptListener *Listener = nullptr;
  /// Ends an abandoned attempt that the searcher does not finish in time.
  std::optional<net::TimerId> LingerTimer;
};

} // namespace acaciacross::gateway

#endif
