#ifndef ACACIACROSS_FORWARDING_ATTEMPTPORT_H
#define ACACIACROSS_FORWARDING_ATTEMPTPORT_H

#include "Forwarding/AbandonMode.h"
#include "Forwarding/AttemptListener.h"
#include "Forwarding/ForwardRequest.h"
#include "Forwarding/ReplicaRecord.h"
#include "Forwarding/RouteStatistics.h"

#include <chrono>
#include <memory>

namespace acaciacross::forwarding {

/// Sends attempts to searchers. It also tells the records of searchers and the
/// statistics of routes what each attempt shows.
class AttemptPort {
public:
  virtual ~AttemptPort() = default;

  /// Whether an attempt could start on a connection of this VM's quota.
  virtual bool hasRoom(const ReplicaRecord &Replica) const = 0;
  /// The listener must call abandon or be told of the end before it goes.
  virtual AttemptNumber
  start(const std::shared_ptr<const ForwardRequest> &Request,
        const std::shared_ptr<ReplicaRecord> &Replica,
        const std::shared_ptr<RouteStatistics> &Statistics,
        common::MonotonicTime AnswerBy, AttemptListener &Listener) = 0;
  /// The listener is not told of this attempt any more.
  virtual void abandon(AttemptNumber Attempt, AbandonMode Mode) = 0;

  /// Has the listener told once when a searcher of the service has room.
  virtual void awaitRoom(const common::ServiceName &Service,
                         AttemptListener &Listener) = 0;
  /// Listeners that await room at the service.
  virtual std::size_t waiting(const common::ServiceName &Service) const = 0;
  virtual void stopAwaiting(AttemptListener &Listener) = 0;
};

} // namespace acaciacross::forwarding

#endif
