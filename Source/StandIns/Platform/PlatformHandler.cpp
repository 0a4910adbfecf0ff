#include "StandIns/Platform/PlatformHandler.h"

namespace acaciacross::standins {

PlatformHandler::PlatformHandler(PlatformState &Shared)
    : Shared(Shared), Configuration(Shared), VmList(Shared),
      Scaffolding(Shared) {}

HttpResponse PlatformHandler::handle(const HttpRequest &Request) {
  const std::string Call = Request.Method + ' ' + Request.Path;
  if (Call == "GET /v1/config")
    return this->Configuration.handle(Request);
  if (Call == "GET /v1/vms")
    return this->VmList.handle(Request);
  return this->Scaffolding.handle(Request);
}

void PlatformHandler::stop() {
  const std::scoped_lock Lock(this->Shared.Mutex);
  this->Shared.Stopping = true;
  this->Shared.Changed.notify_all();
}

} // namespace acaciacross::standins
