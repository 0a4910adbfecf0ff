#ifndef ACACIACROSS_STANDINS_PLATFORM_CONFIGURATIONENDPOINT_H
#define ACACIACROSS_STANDINS_PLATFORM_CONFIGURATIONENDPOINT_H

#include "StandIns/Http/HttpHandler.h"
#include "StandIns/Platform/PlatformState.h"

namespace acaciacross::standins {

/// GET /v1/config.
class ConfigurationEndpoint final : public HttpHandler {
public:
  explicit ConfigurationEndpoint(PlatformState &Shared);

  HttpResponse handle(const HttpRequest &Request) override;

private:
  HttpResponse answer(std::uint64_t Since, std::chrono::milliseconds Wait);
  bool isNewer(std::uint64_t Since) const;

  PlatformState &Shared;
};

} // namespace acaciacross::standins

#endif
