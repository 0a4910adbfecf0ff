#ifndef ACACIACROSS_PEERING_MESSAGEKIND_H
#define ACACIACROSS_PEERING_MESSAGEKIND_H

#include <cstdint>

namespace acaciacross::peering {

/// Kind of a message between entry VMs; the field after the version.
enum class MessageKind : std::uint8_t {
  Probe = 1,
  ProbeAck = 2,
  ConfigurationPull = 3,
  ConfigurationChanges = 4,
  PeerEvidence = 5,
};

} // namespace acaciacross::peering

#endif
