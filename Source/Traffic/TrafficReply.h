#ifndef ACACIACROSS_TRAFFIC_TRAFFICREPLY_H
#define ACACIACROSS_TRAFFIC_TRAFFICREPLY_H

#include "Common/Address.h"
#include "Query/Outcome.h"

#include <memory>
#include <optional>

namespace acaciacross::traffic {

/// The outcome of a request.
struct TrafficReply {
  std::shared_ptr<const query::Outcome> Result;
  /// Address for callers of the process that issued the ticket; set only if it
  /// is another process.
  std::optional<common::Address> TicketOwner;
};

} // namespace acaciacross::traffic

#endif
