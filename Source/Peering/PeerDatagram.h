#ifndef ACACIACROSS_PEERING_PEERDATAGRAM_H
#define ACACIACROSS_PEERING_PEERDATAGRAM_H

#include "Peering/EvidenceMessage.h"
#include "Peering/ProbeAckMessage.h"
#include "Peering/ProbeMessage.h"

#include <variant>

namespace acaciacross::peering {

/// Message in a UDP datagram between entry VMs.
using PeerDatagram =
    std::variant<ProbeMessage, ProbeAckMessage, EvidenceMessage>;

} // namespace acaciacross::peering

#endif
