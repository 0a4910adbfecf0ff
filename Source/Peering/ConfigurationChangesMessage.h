#ifndef ACACIACROSS_PEERING_CONFIGURATIONCHANGESMESSAGE_H
#define ACACIACROSS_PEERING_CONFIGURATIONCHANGESMESSAGE_H

#include "Configuration/ConfigurationChange.h"

#include <optional>
#include <vector>

namespace acaciacross::peering {

/// Answers a pull.
struct ConfigurationChangesMessage {
  std::vector<configuration::ConfigurationChange> Changes;
  /// Further changes did not fit; pull again.
  bool HasMore = false;
  /// Set when the message has every key that there is at this revision: what
  /// it leaves out has been removed.
  std::optional<common::Revision> CompleteAt;
};

} // namespace acaciacross::peering

#endif
