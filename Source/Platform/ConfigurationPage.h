#ifndef ACACIACROSS_PLATFORM_CONFIGURATIONPAGE_H
#define ACACIACROSS_PLATFORM_CONFIGURATIONPAGE_H

#include "Configuration/ConfigurationChange.h"

#include <vector>

namespace acaciacross::platform {

/// Answer of the configuration service to one call for changes.
struct ConfigurationPage {
  /// Revision of the service when it answered.
  common::Revision Revision;
  /// Whether Changes holds all current values, because the history of the
  /// service does not reach back to the requested revision.
  bool IsComplete = false;
  /// In the order in which the service sent them.
  std::vector<configuration::ConfigurationChange> Changes;
};

} // namespace acaciacross::platform

#endif
