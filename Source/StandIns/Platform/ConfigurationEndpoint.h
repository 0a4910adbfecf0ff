#ifndef ACACIACROSS_STANDINS_PLATFORM_CONFIGURATIONENDPOINT_H
#define ACACIACROSS_STANDINS_PLATFORM_CONFIGURATIONENDPOINT_H

#include "StandIns/Http/HttpHandler.h"
#include "StandIns/Platform/PlatformState.h"

namespace acaciacross::standins {

/// Handles GET /v1/config.
class ConfigurationEndpoint final : public HttpHandler {
public:
  explicit ConfigurationEndpoint(PlatformState &State);

  HttpResponse handle(const HttpRequest &Request) override;

private:
  /// Replies with the changes after revision Since, waiting up to Wait for one.
  HttpResponse waitForChanges(std::uint64_t Since,
                              std::chrono::milliseconds Wait);
  bool hasChangesSince(std::uint64_t Since) const;

  PlatformState &State;
};

} // namespace acaciacross::standins

#endif
