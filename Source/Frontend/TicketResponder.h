#ifndef ACACIACROSS_FRONTEND_TICKETRESPONDER_H
#define ACACIACROSS_FRONTEND_TICKETRESPONDER_H

#include "Frontend/EncodedResponse.h"
#include "Traffic/TicketSink.h"

#include <utility>

namespace acaciacross::frontend {

/// Answers a call with a ticket.
class TicketResponder final : public traffic::TicketSink,
                              private EncodedResponse<traffic::TicketReply> {
public:
  using EncodedResponse::EncodedResponse;

  void onTicket(traffic::TicketReply Reply) override {
    this->respond(std::move(Reply));
  }
};

} // namespace acaciacross::frontend

#endif
