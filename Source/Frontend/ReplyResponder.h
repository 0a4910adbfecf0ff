#ifndef ACACIACROSS_FRONTEND_REPLYRESPONDER_H
#define ACACIACROSS_FRONTEND_REPLYRESPONDER_H

#include "Frontend/ResponseSink.h"
#include "Traffic/ReplySink.h"

#include <functional>
#include <memory>
#include <utility>

namespace acaciacross::frontend {

/// Answers a call with the reply to a request.
class ReplyResponder final : public traffic::ReplySink {
public:
  using Encoder = std::function<HttpResponse(const traffic::TrafficReply &)>;

  ReplyResponder(Encoder Chosen, std::shared_ptr<ResponseSink> Target)
      : Encode(std::move(Chosen)), Sink(std::move(Target)) {}

  void onReply(traffic::TrafficReply Reply) override {
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
