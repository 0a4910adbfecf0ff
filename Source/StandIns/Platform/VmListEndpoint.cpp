#include "StandIns/Platform/VmListEndpoint.h"

#include "StandIns/Platform/PlatformCodec.h"

namespace acaciacross::standins {

VmListEndpoint::VmListEndpoint(PlatformState &State) : State(State) {}

HttpResponse VmListEndpoint::handle(const HttpRequest &) {
  const std::scoped_lock Lock(this->State.Mutex);
  ++this->State.VmListCalls;
  if (this->State.Mode.IsVmListDown)
    return {.Delivery = HttpResponse::DeliveryMode::CloseWithoutReply};
  return {.Body = PlatformCodec::encode(this->State.Vms.read(
              std::chrono::steady_clock::now(), this->State.Mode.VmListLag))};
}

} // namespace acaciacross::standins
