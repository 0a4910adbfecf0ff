#ifndef ACACIACROSS_GATEWAY_CONNECTIONPOOL_H
#define ACACIACROSS_GATEWAY_CONNECTIONPOOL_H

#include "Common/Address.h"
#include "Common/Time.h"
#include "Gateway/IdleConnection.h"

#include <memory>
#include <set>
#include <vector>

namespace acaciacross::gateway {

/// The connections of this VM to one searcher.
class ConnectionPool {
public:
  explicit ConnectionPool(common::Address Address);

  const common::Address &address() const;
  /// Number of connections, busy and idle.
  std::size_t size() const;
  /// Whether a request can start now. Share: maximum number of connections that
  /// this VM may hold.
  bool hasFreeConnection(common::MonotonicTime Now, std::size_t Share) const;

  /// Removes and returns an idle connection that the searcher is not about to
  /// close; null when there is none. IsAtMostOnce: the request cannot be
  /// repeated, so only a recently used connection qualifies.
  std::shared_ptr<UpstreamConnection> takeIdle(common::MonotonicTime Now,
                                               bool IsAtMostOnce);
  void addBusy(const std::shared_ptr<UpstreamConnection> &Connection);
  /// Makes a busy connection idle. IdleTimeout: how long the searcher keeps it
  /// open without a request; empty when unknown.
  void release(const std::shared_ptr<UpstreamConnection> &Connection,
               common::MonotonicTime Now,
               std::optional<std::chrono::seconds> IdleTimeout);
  void remove(const UpstreamConnection &Connection);
  /// The searcher closed a new connection without an answer: it has reached its
  /// connection limit. The pool does not grow for a while.
  void noteRejected(common::MonotonicTime Now);
  /// Closes all idle connections.
  void closeIdle();

private:
  common::Address Address;
  std::set<const UpstreamConnection *> Busy;
  std::vector<IdleConnection> Idle;
  common::MonotonicTime LimitedUntil;
  std::size_t Limit = 1;
};

} // namespace acaciacross::gateway

#endif
