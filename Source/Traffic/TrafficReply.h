#ifndef ACACIACROSS_TRAFFIC_TRAFFICREPLY_H
#define ACACIACROSS_TRAFFIC_TRAFFICREPLY_H

#include "Common/Address.h"
#include "Query/Outcome.h"

#include <memory>
#include <optional>

namespace acaciacross::traffic {

/// How a request ended.
struct TrafficReply {
  std::shared_ptr<const query::Outcome> Result;
  /// Set when another process issued the ticket: where callers reach it.
  std::optional<common::Address> TicketOwner;
};

} // namespace acaciacross::traffic

#endif
