#ifndef ACACIACROSS_STANDINS_PLATFORM_PLATFORMCONTROLENDPOINT_H
#define ACACIACROSS_STANDINS_PLATFORM_PLATFORMCONTROLENDPOINT_H

#include "StandIns/Http/HttpHandler.h"
#include "StandIns/Platform/PlatformState.h"

namespace acaciacross::standins {

/// Handles the calls under /control/, which only tests make.
class PlatformControlEndpoint final : public HttpHandler {
public:
  explicit PlatformControlEndpoint(PlatformState &State);

  HttpResponse handle(const HttpRequest &Request) override;

private:
  HttpResponse publish(const std::string &Key, const std::string &Text);
  HttpResponse replaceVms(const std::string &Text);
  HttpResponse setMode(const HttpRequest &Request);
  HttpResponse counters();

  PlatformState &State;
};

} // namespace acaciacross::standins

#endif
