#ifndef ACACIACROSS_STANDINS_PLATFORM_PLATFORMCONTROLENDPOINT_H
#define ACACIACROSS_STANDINS_PLATFORM_PLATFORMCONTROLENDPOINT_H

#include "StandIns/Http/HttpHandler.h"
#include "StandIns/Platform/PlatformState.h"

namespace acaciacross::standins {

/// The calls under /control/, for tests only.
class PlatformControlEndpoint final : public HttpHandler {
public:
  explicit PlatformControlEndpoint(PlatformState &Shared);

  HttpResponse handle(const HttpRequest &Request) override;

private:
  HttpResponse publish(const std::string &Key, const std::string &Text);
  HttpResponse replaceVms(const std::string &Text);
  HttpResponse setMode(const HttpRequest &Request);
  HttpResponse counters();

  PlatformState &Shared;
};

} // namespace acaciacross::standins

#endif
