#ifndef ACACIACROSS_PEERING_CONFIGURATIONPULLMESSAGE_H
#define ACACIACROSS_PEERING_CONFIGURATIONPULLMESSAGE_H

#include "Common/Identifiers.h"

#include <map>
#include <string>

namespace acaciacross::peering {

/// Asks for the keys whose revision at the peer is higher than these.
struct ConfigurationPullMessage {
  std::map<std::string, common::Revision> Known;

  bool operator==(const ConfigurationPullMessage &) const = default;
};

} // namespace acaciacross::peering

#endif
