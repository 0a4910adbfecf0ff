#ifndef ACACIACROSS_FRONTEND_REPLYRESPONDER_H
#define ACACIACROSS_FRONTEND_REPLYRESPONDER_H

#include "Frontend/EncodedResponse.h"
#include "Traffic/ReplySink.h"

#include <utility>

namespace acaciacross::frontend {

/// Answers a call with the reply to a request.
class ReplyResponder final : public traffic::ReplySink,
                             private EncodedResponse<traffic::TrafficReply> {
public:
  using EncodedResponse::EncodedResponse;

  void onReply(traffic::TrafficReply Reply) override {
    this->respond(std::move(Reply));
  }
};

} // namespace acaciacross::frontend

#endif
