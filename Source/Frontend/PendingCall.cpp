#include "Frontend/PendingCall.h"

#include <microhttpd.h>

#include <utility>

namespace acaciacross::frontend {

PendingCall::PendingCall(MHD_Connection *Held) : Connection(Held) {}

void PendingCall::respond(std::function<HttpResponse()> Make) {
  const std::lock_guard Guard(this->Mutex);
  this->Ready = std::move(Make);
  if (this->IsSuspended)
    ::MHD_resume_connection(this->Connection);
  this->IsSuspended = false;
}

bool PendingCall::suspendUnlessReady() {
  const std::lock_guard Guard(this->Mutex);
  if (this->Ready)
    return false;
  this->IsSuspended = true;
  ::MHD_suspend_connection(this->Connection);
  return true;
}

std::optional<HttpResponse> PendingCall::take() {
  std::function<HttpResponse()> Make;
  {
    const std::lock_guard Guard(this->Mutex);
    Make = std::exchange(this->Ready, nullptr);
  }
  if (!Make)
    return std::nullopt;
  return Make();
}

} // namespace acaciacross::frontend
