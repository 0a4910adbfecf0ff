#ifndef ACACIACROSS_MEMBERSHIP_FLEETEVENTKIND_H
#define ACACIACROSS_MEMBERSHIP_FLEETEVENTKIND_H

#include <cstdint>

namespace acaciacross::membership {

/// A change in the fleet that operators can see in the audit trail.
enum class FleetEventKind : std::uint8_t {
  /// First evidence, or evidence after the peer was lost.
  Joined,
  Leaving,
  Lost,
  Restarted,
  /// Another live VM has the same id.
  DuplicateId,
};

} // namespace acaciacross::membership

#endif
