#ifndef ACACIACROSS_STANDINS_PLATFORM_PLATFORMHANDLER_H
#define ACACIACROSS_STANDINS_PLATFORM_PLATFORMHANDLER_H

#include "StandIns/Platform/ConfigurationEndpoint.h"
#include "StandIns/Platform/PlatformControlEndpoint.h"
#include "StandIns/Platform/VmListEndpoint.h"

namespace acaciacross::standins {

/// Routes every call of standin-platform to its endpoint.
class PlatformHandler final : public HttpHandler {
public:
  explicit PlatformHandler(PlatformState &State);

  HttpResponse handle(const HttpRequest &Request) override;
  void stop() override;

private:
  PlatformState &State;
  ConfigurationEndpoint Configuration;
  VmListEndpoint VmList;
  PlatformControlEndpoint Control;
};

} // namespace acaciacross::standins

#endif
