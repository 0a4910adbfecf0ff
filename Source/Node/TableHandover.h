#ifndef ACACIACROSS_NODE_TABLEHANDOVER_H
#define ACACIACROSS_NODE_TABLEHANDOVER_H

#include "Common/Time.h"
#include "Forwarding/RoutingTable.h"
#include "Logging/EventLog.h"
#include "Net/EventLoop.h"

#include <cstdint>
#include <deque>
#include <memory>

namespace acaciacross::node {

/// Logs when a routing table comes into use, and when the last request that was
/// admitted with an older one has ended. For use on the traffic thread only.
class TableHandover {
public:
  TableHandover(net::EventLoop &Loop, logging::EventLog &Log);

  /// Older: the table that is replaced; null for the first one.
  void replace(const std::shared_ptr<const forwarding::RoutingTable> &Older,
               const forwarding::RoutingTable &Newer,
               common::MonotonicTime AcceptedAt);

private:
  /// A replaced table. Requests that were admitted with it keep it alive.
  struct ReplacedTable {
    std::weak_ptr<const forwarding::RoutingTable> Table;
    std::uint64_t Version = 0;
    common::MonotonicTime ReplacedAt;
  };

  void scheduleCheck();
  void check();

  net::EventLoop &Loop;
  logging::EventLog &Log;
  std::deque<ReplacedTable> Replaced;
};

} // namespace acaciacross::node

#endif
