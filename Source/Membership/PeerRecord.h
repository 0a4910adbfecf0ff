#ifndef ACACIACROSS_MEMBERSHIP_PEERRECORD_H
#define ACACIACROSS_MEMBERSHIP_PEERRECORD_H

#include "Common/Time.h"
#include "Membership/MemberStatus.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace acaciacross::membership {

/// What this VM knows of one other entry VM.
struct PeerRecord {
  MemberStatus Status;
  common::Address Peers;
  /// When the newest acknowledged probe was sent.
  common::MonotonicTime EvidenceAt;
  /// False from the end of a pause of this VM until the next acknowledgement.
  bool Confirmed = true;
  /// The loss limit counts from here: the evidence, or the end of a pause.
  common::MonotonicTime QuietSince;
  /// When the first acknowledged probe of this run was sent.
  common::MonotonicTime RunSince;
  /// When the first probe since the last acknowledgement was sent.
  std::optional<common::MonotonicTime> UnansweredSince;
  /// How many were sent since then.
  std::size_t Unanswered = 0;
  bool Lost = false;
  /// Earlier runs of the same VM, newest last; they are never accepted again.
  std::vector<common::Incarnation> Retired;
};

} // namespace acaciacross::membership

#endif
