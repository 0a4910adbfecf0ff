#ifndef ACACIACROSS_GATEWAY_UPSTREAMSENDER_H
#define ACACIACROSS_GATEWAY_UPSTREAMSENDER_H

#include "Forwarding/AttemptSender.h"
#include "Forwarding/ServiceRegistry.h"
#include "Gateway/AttemptRecorder.h"
#include "Gateway/ConnectionPool.h"
#include "Gateway/ConnectionWaiters.h"
#include "Gateway/NoticeLog.h"
#include "Gateway/ResponseBufferBudget.h"
#include "Gateway/SearcherProtocol.h"
#include "Gateway/UpstreamAttempt.h"
#include "Gateway/UpstreamListener.h"
#include "Gateway/UpstreamSenderSettings.h"
#include "Logging/EventLog.h"
#include "Net/EventLoop.h"

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>

namespace acaciacross::gateway {

/// Sends attempts to searchers over pooled connections.
class UpstreamSender final : public forwarding::AttemptSender,
                             private UpstreamListener {
public:
  UpstreamSender(net::EventLoop &Loop, forwarding::ServiceRegistry &Registry,
                 const SearcherProtocol &Protocol, logging::EventLog &Log,
                 UpstreamSenderSettings Settings);
  ~UpstreamSender() override;
  UpstreamSender(const UpstreamSender &) = delete;
  UpstreamSender &operator=(const UpstreamSender &) = delete;

  bool
  hasFreeConnection(const forwarding::ReplicaRecord &Replica) const override;
  forwarding::AttemptNumber
  start(const std::shared_ptr<const forwarding::ForwardRequest> &Request,
        const std::shared_ptr<forwarding::ReplicaRecord> &Replica,
        const std::shared_ptr<forwarding::RouteStatistics> &Statistics,
        common::MonotonicTime Deadline,
        forwarding::AttemptListener &Listener) override;
  void abandon(forwarding::AttemptNumber Attempt,
               forwarding::AbandonMode Mode) override;
  void awaitConnection(const common::ServiceName &Service,
                       forwarding::AttemptListener &Listener,
                       const forwarding::Urgency &Place) override;
  std::size_t waitingCount(const common::ServiceName &Service) const override;
  std::size_t waitingCountUpTo(const common::ServiceName &Service,
                               int Priority) const override;
  void cancelAwait(forwarding::AttemptListener &Listener) override;

  /// Takes back the attempts at searchers that are no longer listed whose
  /// connection is still being set up, and notifies the listeners that await a
  /// connection of a service without a listed searcher, which would not come.
  void withdrawUnlisted();
  /// Closes the idle connections to searchers that are no longer listed.
  void closeUnlisted();
  /// Closes all connections that no attempt uses.
  void closeIdle();

  /// Number of connections opened since the start.
  std::uint64_t openedConnectionCount() const;
  const ResponseBufferBudget &responseBuffers() const;
  const DomainTraffic &domainTraffic() const;
  const ConnectionWaiters &waiters() const;
  /// Number of connections held now.
  std::size_t connections() const;

private:
  using AttemptMap =
      std::unordered_map<forwarding::AttemptNumber, UpstreamAttempt>;

  void onConnected(UpstreamConnection &Connection) override;
  bool onResponse(UpstreamConnection &Connection, http::Response Response,
                  bool MayReuse) override;
  void onBuffered(UpstreamConnection &Connection, std::size_t Bytes) override;
  void onUpstreamClosed(UpstreamConnection &Connection, bool WasSent) override;

  /// Whether this VM keeps connections that no attempt uses.
  bool keepsConnections() const;
  ConnectionPool &poolOf(const forwarding::SearcherEntry &Searcher);
  void send(const UpstreamAttempt &Attempt);
  /// Removes the attempt and reports its end to the record of its searcher.
  UpstreamAttempt removeAttempt(AttemptMap::iterator It);
  /// Updates the record of the searcher with what it says of itself.
  void recordNotice(const UpstreamAttempt &Attempt,
                    const forwarding::SearcherNotice &Notice);
  /// Ends an attempt whose searcher must get nothing now, before it is sent.
  void withdraw(AttemptMap::iterator It);
  void closeConnection(const UpstreamAttempt &Attempt);
  void onLingerEnd(forwarding::AttemptNumber Attempt);
  /// Notifies the next listener that awaits a connection at the service.
  void notifyConnectionAvailable(const common::ServiceName &Service);
  void notifyWaiting(const common::ServiceName &Service);

  net::EventLoop &Loop;
  forwarding::ServiceRegistry &Registry;
  const SearcherProtocol &Protocol;
  logging::EventLog &Log;
  AttemptRecorder Recorder;
  NoticeLog Notices;
  ResponseBufferBudget ResponseBuffers;
  std::map<common::SearcherId, ConnectionPool> Pools;
  AttemptMap Attempts;
  std::unordered_map<const UpstreamConnection *, forwarding::AttemptNumber>
      AttemptByConnection;
  ConnectionWaiters Waiters;
  std::uint64_t NextNumber = 1;
  std::uint64_t OpenedCount = 0;
};

} // namespace acaciacross::gateway

#endif
