#ifndef ACACIACROSS_FRONTEND_REPLYRESPONDER_H
#define ACACIACROSS_FRONTEND_REPLYRESPONDER_H

#include "Frontend/EncodingResponder.h"
#include "Traffic/ReplySink.h"

#include <utility>

namespace acaciacross::frontend {

/// Responds to a query with the reply of the traffic threads.
class ReplyResponder final : public traffic::ReplySink,
                             private EncodingResponder<traffic::TrafficReply> {
public:
  using EncodingResponder::EncodingResponder;

  void onReply(traffic::TrafficReply Reply) override {
    this->respond(std::move(Reply));
  }
};

} // namespace acaciacross::frontend

#endif
