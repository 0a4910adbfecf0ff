#ifndef ACACIACROSS_TRAFFIC_TICKETREPLY_H
#define ACACIACROSS_TRAFFIC_TICKETREPLY_H

#include "Common/ResultCode.h"
#include "Tickets/Ticket.h"

#include <chrono>
#include <optional>

namespace acaciacross::traffic {

/// A new ticket, or the reason why none was issued.
struct TicketReply {
  common::ResultCode Code = common::ResultCode::Ok;
  std::optional<tickets::Ticket> Ticket;
  std::chrono::milliseconds Validity{0};
};

} // namespace acaciacross::traffic

#endif
