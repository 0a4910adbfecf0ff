#ifndef ACACIACROSS_FRONTEND_ENCODEDRESPONSE_H
#define ACACIACROSS_FRONTEND_ENCODEDRESPONSE_H

#include "Frontend/ResponseSink.h"

#include <functional>
#include <memory>
#include <utility>

namespace acaciacross::frontend {

/// Answers a call with a value of another thread, encoded on one of the front
/// end.
template <typename Value> class EncodedResponse {
public:
  using Encoder = std::function<HttpResponse(const Value &)>;

  EncodedResponse(Encoder Chosen, std::shared_ptr<ResponseSink> Target)
      : Encode(std::move(Chosen)), Sink(std::move(Target)) {}

protected:
  ~EncodedResponse() = default;

  void respond(Value Given) {
    this->Sink->respond([Encode = this->Encode, Content = std::move(Given)] {
      return Encode(Content);
    });
  }

private:
  Encoder Encode;
  std::shared_ptr<ResponseSink> Sink;
};

} // namespace acaciacross::frontend

#endif
