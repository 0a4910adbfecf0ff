#ifndef ACACIACROSS_STANDINS_PLATFORM_PLATFORMHANDLER_H
#define ACACIACROSS_STANDINS_PLATFORM_PLATFORMHANDLER_H

#include "StandIns/Platform/ConfigurationEndpoint.h"
#include "StandIns/Platform/PlatformControlEndpoint.h"
#include "StandIns/Platform/VmListEndpoint.h"

namespace acaciacross::standins {

/// All calls of the platform's stand-in.
class PlatformHandler final : public HttpHandler {
public:
  explicit PlatformHandler(PlatformState &Shared);

  HttpResponse handle(const HttpRequest &Request) override;
  void stop() override;

private:
  PlatformState &Shared;
  ConfigurationEndpoint Configuration;
  VmListEndpoint VmList;
  PlatformControlEndpoint Scaffolding;
};

} // namespace acaciacross::standins

#endif
