#ifndef ACACIACROSS_PLATFORM_CONFIGURATIONPAGEDECODER_H
#define ACACIACROSS_PLATFORM_CONFIGURATIONPAGEDECODER_H

#include "Platform/ConfigurationPage.h"

#include <string>

namespace acaciacross::platform {

/// Decodes answers to GET /v1/config.
class ConfigurationPageDecoder {
public:
  /// Throws PlatformError when the body is not a valid page.
  static ConfigurationPage decode(const std::string &Body);
};

} // namespace acaciacross::platform

#endif
