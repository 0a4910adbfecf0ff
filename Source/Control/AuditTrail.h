#ifndef ACACIACROSS_CONTROL_AUDITTRAIL_H
#define ACACIACROSS_CONTROL_AUDITTRAIL_H

#include "Control/AuditEntry.h"

#include <cstddef>
#include <deque>
#include <string_view>
#include <vector>

namespace acaciacross::control {

/// Bounded list of the most recent changes of the control state, in order.
class AuditTrail {
public:
  static constexpr std::size_t MaxEntries = 4'096;
  /// Longer texts are truncated.
  static constexpr std::size_t MaxTextLength = 512;

  void append(common::WallTime At, std::string_view Cause,
              std::string_view Subject, std::string_view Text);

  /// Entries with a sequence number above Sequence, oldest first. Entries that
  /// have been dropped from the trail are missing at the front.
  std::vector<AuditEntry> after(std::uint64_t Sequence) const;

  /// Sequence number of the newest entry; 0 if there has been none.
  std::uint64_t lastSequence() const;

private:
  std::deque<AuditEntry> Entries;
  std::uint64_t LastSequence = 0;
};

} // namespace acaciacross::control

#endif
