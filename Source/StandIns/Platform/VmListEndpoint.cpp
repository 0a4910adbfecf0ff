#include "StandIns/Platform/VmListEndpoint.h"

#include "StandIns/Platform/PlatformCodec.h"

namespace acaciacross::standins {

VmListEndpoint::VmListEndpoint(PlatformState &Shared) : Shared(Shared) {}

HttpResponse VmListEndpoint::handle(const HttpRequest &) {
  const std::scoped_lock Lock(this->Shared.Mutex);
  ++this->Shared.VmListCalls;
  if (this->Shared.Mode.VmListDown)
    return {.End = HttpResponse::Ending::CloseWithoutReply};
  return {.Body = PlatformCodec::encode(this->Shared.Vms.read(
              std::chrono::steady_clock::now(), this->Shared.Mode.VmListLag))};
}

} // namespace acaciacross::standins
