#ifndef ACACIACROSS_TRAFFIC_TICKETHANDLER_H
#define ACACIACROSS_TRAFFIC_TICKETHANDLER_H

#include "Tickets/TicketTable.h"
#include "Traffic/EngineSettings.h"
#include "Traffic/TicketReply.h"
#include "Traffic/TrafficReply.h"

#include <memory>
#include <optional>

namespace acaciacross::traffic {

/// Issues the tickets of one traffic thread and answers requests whose ticket
/// was used before.
class TicketHandler {
public:
  explicit TicketHandler(const EngineSettings &Settings);

  TicketHandler(const TicketHandler &) = delete;
  TicketHandler &operator=(const TicketHandler &) = delete;

  TicketReply issue(const common::ClassName &Class, common::MonotonicTime Now);

  /// Empty if the request may run; the ticket is then marked as executing.
  /// Otherwise the reply to the request.
  std::optional<TrafficReply> claim(const tickets::Ticket &Presented,
                                    common::MonotonicTime Now);

  /// Stores the outcome of the execution that claim allowed.
  void finish(const tickets::Ticket &Executed,
              std::shared_ptr<const query::Outcome> Outcome);

private:
  tickets::TicketIssuer Issuer;
  tickets::TicketTable Table;
};

} // namespace acaciacross::traffic

#endif
