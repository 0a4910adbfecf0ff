#ifndef ACACIACROSS_PEERING_TRANSFERCODEC_H
#define ACACIACROSS_PEERING_TRANSFERCODEC_H

#include "Peering/ConfigurationChangesMessage.h"
#include "Peering/ConfigurationPullMessage.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace acaciacross::peering {

/// Keys beyond MaxKeys are left out. Throws PeerMessageError.
std::string encodePull(const ConfigurationPullMessage &Message);

/// Throws PeerMessageError.
ConfigurationPullMessage decodePull(std::string_view Bytes);

/// Encodes as many leading changes as fit into MaxChangesBytes. When some do
/// not fit, HasMore is set and CompleteAt is left out. Throws PeerMessageError.
std::string
encodeChanges(const std::vector<configuration::ConfigurationChange> &Changes,
              std::optional<common::Revision> CompleteAt = std::nullopt);

/// Throws PeerMessageError.
ConfigurationChangesMessage decodeChanges(std::string_view Bytes);

} // namespace acaciacross::peering

#endif
