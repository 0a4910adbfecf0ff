#ifndef ACACIACROSS_FRONTEND_ENCODINGRESPONDER_H
#define ACACIACROSS_FRONTEND_ENCODINGRESPONDER_H

#include "Frontend/ResponseSink.h"

#include <functional>
#include <memory>
#include <utility>

namespace acaciacross::frontend {

/// Responds to a request with a value that another thread delivers. The value
/// is encoded on a thread of the HTTP server.
template <typename Value> class EncodingResponder {
public:
  using Encoder = std::function<HttpResponse(const Value &)>;

  EncodingResponder(Encoder Encode, std::shared_ptr<ResponseSink> Sink)
      : Encode(std::move(Encode)), Sink(std::move(Sink)) {}

protected:
  ~EncodingResponder() = default;

  void respond(Value Content) {
    this->Sink->respond([Encode = this->Encode, Content = std::move(Content)] {
      return Encode(Content);
    });
  }

private:
  Encoder Encode;
  std::shared_ptr<ResponseSink> Sink;
};

} // namespace acaciacross::frontend

#endif
