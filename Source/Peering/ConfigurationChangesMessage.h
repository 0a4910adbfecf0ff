#ifndef ACACIACROSS_PEERING_CONFIGURATIONCHANGESMESSAGE_H
#define ACACIACROSS_PEERING_CONFIGURATIONCHANGESMESSAGE_H

#include "Configuration/ConfigurationChange.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace acaciacross::peering {

/// Reply to a ConfigurationPullMessage.
struct ConfigurationChangesMessage {
  std::vector<configuration::ConfigurationChange> Changes;
  /// Further changes did not fit; the receiver has to pull again.
  bool HasMore = false;
  /// Set when the message holds every key that exists at this revision; keys
  /// that it does not hold have been removed.
  std::optional<common::Revision> CompleteAt;
  /// Set when a receiver that knows all changes up to the revision that it
  /// asked for knows all up to this one with the message. Never set together
  /// with CompleteAt.
  std::optional<common::Revision> ChangesUpTo;
  /// The era of the store to which all revisions belong; 0 for none.
  std::uint64_t Era = 0;
};

} // namespace acaciacross::peering

#endif
