#ifndef ACACIACROSS_PEERING_DATAGRAMCODEC_H
#define ACACIACROSS_PEERING_DATAGRAMCODEC_H

#include "Peering/PeerDatagram.h"

#include <string>
#include <string_view>

namespace acaciacross::peering {

/// Encodes into at most MaxDatagramBytes. Member updates are added first, then
/// drain notices; those that do not fit are left out. Throws PeerMessageError.
std::string encodeDatagram(const PeerDatagram &Message);

/// Throws PeerMessageError.
PeerDatagram decodeDatagram(std::string_view Bytes);

} // namespace acaciacross::peering

#endif
