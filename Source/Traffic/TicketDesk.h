#ifndef ACACIACROSS_TRAFFIC_TICKETDESK_H
#define ACACIACROSS_TRAFFIC_TICKETDESK_H

#include "Tickets/TicketTable.h"
#include "Traffic/EngineSettings.h"
#include "Traffic/TicketReply.h"
#include "Traffic/TrafficReply.h"

#include <memory>
#include <optional>

namespace acaciacross::traffic {

/// Issues the tickets of one traffic thread and answers for used ones.
class TicketDesk {
public:
  explicit TicketDesk(const EngineSettings &Chosen);

  TicketDesk(const TicketDesk &) = delete;
  TicketDesk &operator=(const TicketDesk &) = delete;

  TicketReply issue(const common::ClassName &Class, common::MonotonicTime Now);

  /// Empty when the request may run; the ticket is then marked as executing.
  std::optional<TrafficReply> present(const tickets::Ticket &Presented,
                                      common::MonotonicTime Now);

  /// Ends the execution that present allowed.
  void finish(const tickets::Ticket &Executed,
              std::shared_ptr<const query::Outcome> Outcome);

private:
  tickets::TicketIssuer Issuer;
  tickets::TicketTable Table;
};

} // namespace acaciacross::traffic

#endif
