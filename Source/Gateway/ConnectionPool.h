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
  explicit ConnectionPool(common::Address Searcher);

  const common::Address &address() const;
  /// Connections with and without a request.
  std::size_t size() const;
  /// Whether a request can start now; Share: how many connections this VM may
  /// hold at most.
  bool hasRoom(common::MonotonicTime Now, std::size_t Share) const;

  /// An idle connection that the searcher will not close in the meantime; null
  /// when there is none. IsAtMostOnce: the request cannot be repeated, so the
  /// connection must be certain to stand.
  std::shared_ptr<UpstreamConnection> takeIdle(common::MonotonicTime Now,
                                               bool IsAtMostOnce);
  void addBusy(const std::shared_ptr<UpstreamConnection> &Connection);
  void release(const std::shared_ptr<UpstreamConnection> &Connection,
               common::MonotonicTime Now,
               std::optional<std::chrono::seconds> Lifetime);
  void remove(const UpstreamConnection &Connection);
  /// The searcher closed a new connection instead of answering: it is at its
  /// limit, and for a while no more than the present ones are tried.
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
