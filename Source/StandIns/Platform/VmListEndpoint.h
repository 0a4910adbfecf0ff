#ifndef ACACIACROSS_STANDINS_PLATFORM_VMLISTENDPOINT_H
#define ACACIACROSS_STANDINS_PLATFORM_VMLISTENDPOINT_H

#include "StandIns/Http/HttpHandler.h"
#include "StandIns/Platform/PlatformState.h"

namespace acaciacross::standins {

/// Handles GET /v1/vms.
class VmListEndpoint final : public HttpHandler {
public:
  explicit VmListEndpoint(PlatformState &State);

  HttpResponse handle(const HttpRequest &Request) override;

private:
  PlatformState &State;
};

} // namespace acaciacross::standins

#endif
