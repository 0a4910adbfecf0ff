#include "StandIns/Platform/PlatformHandler.h"

namespace acaciacross::standins {

PlatformHandler::PlatformHandler(PlatformState &State)
    : State(State), Configuration(State), VmList(State), Control(State) {}

HttpResponse PlatformHandler::handle(const HttpRequest &Request) {
  const std::string Route = Request.Method + ' ' + Request.Path;
  if (Route == "GET /v1/config")
    return this->Configuration.handle(Request);
  if (Route == "GET /v1/vms")
    return this->VmList.handle(Request);
  return this->Control.handle(Request);
}

void PlatformHandler::stop() {
  const std::scoped_lock Lock(this->State.Mutex);
  this->State.IsStopping = true;
  this->State.Changed.notify_all();
}

} // namespace acaciacross::standins
