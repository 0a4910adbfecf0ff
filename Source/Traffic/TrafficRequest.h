#ifndef ACACIACROSS_TRAFFIC_TRAFFICREQUEST_H
#define ACACIACROSS_TRAFFIC_TRAFFICREQUEST_H

#include "Common/Identifiers.h"
#include "Common/Time.h"
#include "Tickets/Ticket.h"

#include <optional>
#include <string>

namespace acaciacross::traffic {

/// A decoded request of a caller.
struct TrafficRequest {
  common::RequestId Id;
  common::ClassName Class;
  std::string Body;
  std::optional<tickets::Ticket> Ticket;

  common::MonotonicTime ReceivedAt;
  common::MonotonicTime Deadline;
};

} // namespace acaciacross::traffic

#endif
