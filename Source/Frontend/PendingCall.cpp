#include "Frontend/PendingCall.h"

#include <microhttpd.h>

#include <utility>

namespace acaciacross::frontend {

PendingCall::PendingCall(MHD_Connection *Handle) : Connection(Handle) {}

void PendingCall::respond(std::function<HttpResponse()> Encoder) {
  const std::lock_guard Guard(this->Mutex);
  this->ReadyEncoder = std::move(Encoder);
  if (this->IsSuspended)
    ::MHD_resume_connection(this->Connection);
  this->IsSuspended = false;
}

bool PendingCall::suspendUnlessReady() {
  const std::lock_guard Guard(this->Mutex);
  if (this->ReadyEncoder)
    return false;
  this->IsSuspended = true;
  ::MHD_suspend_connection(this->Connection);
  return true;
}

std::optional<HttpResponse> PendingCall::take() {
  std::function<HttpResponse()> Encoder;
  {
    const std::lock_guard Guard(this->Mutex);
    Encoder = std::exchange(this->ReadyEncoder, nullptr);
  }
  if (!Encoder)
    return std::nullopt;
  return Encoder();
}

} // namespace acaciacross::frontend
