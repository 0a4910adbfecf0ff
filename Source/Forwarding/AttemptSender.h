#ifndef ACACIACROSS_FORWARDING_ATTEMPTSENDER_H
#define ACACIACROSS_FORWARDING_ATTEMPTSENDER_H

#include "Forwarding/AbandonMode.h"
#include "Forwarding/AttemptListener.h"
#include "Forwarding/ForwardRequest.h"
#include "Forwarding/ReplicaRecord.h"
#include "Forwarding/RouteStatistics.h"
#include "Forwarding/Urgency.h"

#include <chrono>
#include <memory>

namespace acaciacross::forwarding {

/// Sends attempts to searchers, and updates the replica records and the route
/// statistics with the results.
class AttemptSender {
public:
  virtual ~AttemptSender() = default;

  /// Whether an attempt could start now within this VM's connection quota for
  /// the searcher.
  virtual bool hasFreeConnection(const ReplicaRecord &Replica) const = 0;
  /// Starts an attempt. The listener must live until it is notified of the end
  /// or calls abandon.
  virtual AttemptNumber
  start(const std::shared_ptr<const ForwardRequest> &Request,
        const std::shared_ptr<ReplicaRecord> &Replica,
        const std::shared_ptr<RouteStatistics> &Statistics,
        common::MonotonicTime Deadline, AttemptListener &Listener) = 0;
  /// Ends an attempt; its listener is not notified any more.
  virtual void abandon(AttemptNumber Attempt, AbandonMode Mode) = 0;

  /// Notifies the listener once when a searcher of the service can take an
  /// attempt.
  virtual void awaitConnection(const common::ServiceName &Service,
                               AttemptListener &Listener,
                               const Urgency &Place) = 0;
  /// Number of listeners that wait for a searcher of the service.
  virtual std::size_t
  waitingCount(const common::ServiceName &Service) const = 0;
  /// The same, of those with the given or a more urgent priority.
  virtual std::size_t waitingCountUpTo(const common::ServiceName &Service,
                                       int Priority) const = 0;
  virtual void cancelAwait(AttemptListener &Listener) = 0;
};

} // namespace acaciacross::forwarding

#endif
