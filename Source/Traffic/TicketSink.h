#ifndef ACACIACROSS_TRAFFIC_TICKETSINK_H
#define ACACIACROSS_TRAFFIC_TICKETSINK_H

#include "Traffic/TicketReply.h"

namespace acaciacross::traffic {

/// Receives the reply to a request for a ticket. Called once, on any thread;
/// must return without blocking.
class TicketSink {
public:
  virtual ~TicketSink() = default;

  virtual void onTicket(TicketReply Reply) = 0;
};

} // namespace acaciacross::traffic

#endif
