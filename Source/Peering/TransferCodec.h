#ifndef ACACIACROSS_PEERING_TRANSFERCODEC_H
#define ACACIACROSS_PEERING_TRANSFERCODEC_H

#include "Peering/ConfigurationChangesMessage.h"
#include "Peering/ConfigurationPullMessage.h"

#include <cstdint>
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
/// not fit, HasMore is set, CompleteAt is left out, and ChangesUpTo is lowered
/// to the revision before the first of them; the changes are then ordered by
/// revision. Throws PeerMessageError.
std::string
encodeChanges(const std::vector<configuration::ConfigurationChange> &Changes,
              std::optional<common::Revision> CompleteAt = std::nullopt,
              std::optional<common::Revision> ChangesUpTo = std::nullopt,
              std::uint64_t Era = 0);

/// Throws PeerMessageError.
ConfigurationChangesMessage decodeChanges(std::string_view Bytes);

} // namespace acaciacross::peering

#endif
