#ifndef ACACIACROSS_PEERING_CONFIGURATIONPULLMESSAGE_H
#define ACACIACROSS_PEERING_CONFIGURATIONPULLMESSAGE_H

#include "Common/Identifiers.h"

#include <map>
#include <string>

namespace acaciacross::peering {

/// Asks for the keys whose revision at the peer is higher than Floor and than
/// that in Known.
struct ConfigurationPullMessage {
  /// With an empty Known list, a VM that has all up to here sends few bytes.
  common::Revision Floor;
  std::map<std::string, common::Revision> Known;

  bool operator==(const ConfigurationPullMessage &) const = default;
};

} // namespace acaciacross::peering

#endif
