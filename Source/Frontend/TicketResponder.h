#ifndef ACACIACROSS_FRONTEND_TICKETRESPONDER_H
#define ACACIACROSS_FRONTEND_TICKETRESPONDER_H

#include "Frontend/ResponseSink.h"
#include "Traffic/TicketSink.h"

#include <functional>
#include <memory>
#include <utility>

namespace acaciacross::frontend {

/// Answers a call with a ticket.
class TicketResponder final : public traffic::TicketSink {
public:
  using Encoder = std::function<HttpResponse(const traffic::TicketReply &)>;

  TicketResponder(Encoder Chosen, std::shared_ptr<ResponseSink> Target)
      : Encode(std::move(Chosen)), Sink(std::move(Target)) {}

  void onTicket(traffic::TicketReply Reply) override {
    this->Sink->respond([Encode = this->Encode, Given = std::move(Reply)] {
      return Encode(Given);
    });
  }

private:
  Encoder Encode;
  std::shared_ptr<ResponseSink> Sink;
};

} // namespace acaciacross::frontend

#endif
