#ifndef ACACIACROSS_PLATFORM_CONFIGURATIONPAGE_H
#define ACACIACROSS_PLATFORM_CONFIGURATIONPAGE_H

#include "Configuration/ConfigurationChange.h"

#include <vector>

namespace acaciacross::platform {

/// Answer of the configuration service to one call.
struct ConfigurationPage {
  /// The revision that the service is at.
  common::Revision At;
  /// All current values, because the history did not reach back far enough.
  bool Complete = false;
  /// In the order of the service.
  std::vector<configuration::ConfigurationChange> Changes;
};

} // namespace acaciacross::platform

#endif
