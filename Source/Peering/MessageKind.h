#ifndef ACACIACROSS_PEERING_MESSAGEKIND_H
#define ACACIACROSS_PEERING_MESSAGEKIND_H

#include <cstdint>

namespace acaciacross::peering {

/// First field after the version in every message between entry VMs.
enum class MessageKind : std::uint8_t {
  Probe = 1,
  ProbeAck = 2,
  ConfigurationPull = 3,
  ConfigurationChanges = 4,
};

} // namespace acaciacross::peering

#endif
