#ifndef ACACIACROSS_TICKETS_TICKETLOOKUP_H
#define ACACIACROSS_TICKETS_TICKETLOOKUP_H

#include "Query/Outcome.h"
#include "Tickets/TicketState.h"

#include <memory>

namespace acaciacross::tickets {

/// What the ticket table knows about a presented ticket.
struct TicketLookup {
  TicketState State = TicketState::Altered;
  /// Set when State is Finished.
  std::shared_ptr<const query::Outcome> StoredOutcome;
};

} // namespace acaciacross::tickets

#endif
