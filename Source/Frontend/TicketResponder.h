#ifndef ACACIACROSS_FRONTEND_TICKETRESPONDER_H
#define ACACIACROSS_FRONTEND_TICKETRESPONDER_H

#include "Frontend/EncodingResponder.h"
#include "Traffic/TicketSink.h"

#include <utility>

namespace acaciacross::frontend {

/// Responds to a ticket request.
class TicketResponder final : public traffic::TicketSink,
                              private EncodingResponder<traffic::TicketReply> {
public:
  using EncodingResponder::EncodingResponder;

  void onTicket(traffic::TicketReply Reply) override {
    this->respond(std::move(Reply));
  }
};

} // namespace acaciacross::frontend

#endif
