#ifndef ACACIACROSS_CONTROL_AUDITENTRY_H
#define ACACIACROSS_CONTROL_AUDITENTRY_H

#include "Common/Time.h"

#include <cstdint>
#include <string>

namespace acaciacross::control {

/// One change of the control state.
struct AuditEntry {
  /// Sequence number, starting at 1 and without gaps.
  std::uint64_t Sequence = 0;
  common::WallTime At;
  /// Origin of the change: "service", "peer entry-2", "evidence", …
  std::string Cause;
  /// The key, searcher or VM that changed.
  std::string Subject;
  std::string Text;
};

} // namespace acaciacross::control

#endif
