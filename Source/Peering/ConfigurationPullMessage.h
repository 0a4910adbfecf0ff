#ifndef ACACIACROSS_PEERING_CONFIGURATIONPULLMESSAGE_H
#define ACACIACROSS_PEERING_CONFIGURATIONPULLMESSAGE_H

#include "Common/Identifiers.h"

#include <map>
#include <string>

namespace acaciacross::peering {

/// Asks for the keys whose revision at the peer is higher than Floor and higher
/// than the revision in Known.
struct ConfigurationPullMessage {
  /// Keeps the message small: a VM that has all changes up to this revision
  /// need not list its keys in Known.
  common::Revision Floor;
  /// Revisions of the keys that the sender has.
  std::map<std::string, common::Revision> Known;

  bool operator==(const ConfigurationPullMessage &) const = default;
};

} // namespace acaciacross::peering

#endif
