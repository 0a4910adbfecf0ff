#ifndef ACACIACROSS_PEERING_CONFIGURATIONCHANGESMESSAGE_H
#define ACACIACROSS_PEERING_CONFIGURATIONCHANGESMESSAGE_H

#include "Configuration/ConfigurationChange.h"

#include <vector>

namespace acaciacross::peering {

/// Answers a pull.
struct ConfigurationChangesMessage {
  std::vector<configuration::ConfigurationChange> Changes;
  /// Further changes did not fit; pull again.
  bool HasMore = false;
};

} // namespace acaciacross::peering

#endif
