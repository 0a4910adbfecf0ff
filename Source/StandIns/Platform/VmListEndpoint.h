#ifndef ACACIACROSS_STANDINS_PLATFORM_VMLISTENDPOINT_H
#define ACACIACROSS_STANDINS_PLATFORM_VMLISTENDPOINT_H

#include "StandIns/Http/HttpHandler.h"
#include "StandIns/Platform/PlatformState.h"

namespace acaciacross::standins {

/// GET /v1/vms.
class VmListEndpoint final : public HttpHandler {
public:
  explicit VmListEndpoint(PlatformState &Shared);

  HttpResponse handle(const HttpRequest &Request) override;

private:
  PlatformState &Shared;
};

} // namespace acaciacross::standins

#endif
