#ifndef ACACIACROSS_PEERING_CONFIGURATIONPULLMESSAGE_H
#define ACACIACROSS_PEERING_CONFIGURATIONPULLMESSAGE_H

#include "Common/Identifiers.h"

#include <cstdint>
#include <map>
#include <string>

namespace acaciacross::peering {

/// Asks for the keys whose revision at the peer is higher than AfterRevision
/// and higher than the revision in KnownRevisions.
struct ConfigurationPullMessage {
  /// Keeps the message small: a VM that has all changes up to this revision
  /// need not list its keys in KnownRevisions.
  common::Revision AfterRevision;
  /// The era of the store to which the revisions belong; 0 for none.
  std::uint64_t Era = 0;
  /// Revisions of the keys that the sender has.
  std::map<std::string, common::Revision> KnownRevisions;

  bool operator==(const ConfigurationPullMessage &) const = default;
};

} // namespace acaciacross::peering

#endif
