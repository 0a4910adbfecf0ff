#ifndef ACACIACROSS_MEMBERSHIP_PEERRECORD_H
#define ACACIACROSS_MEMBERSHIP_PEERRECORD_H

#include "Common/Time.h"
#include "Membership/MemberStatus.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace acaciacross::membership {

/// State of another entry VM as known to this VM.
struct PeerRecord {
  MemberStatus Status;
  common::Address PeerAddress;
  /// When the newest acknowledged probe was sent.
  common::MonotonicTime EvidenceAt;
  /// False after a pause of this VM until the next acknowledgement.
  bool IsConfirmed = true;
  /// Start of LossTimeout: the time of the evidence, or the end of a later
  /// pause.
  common::MonotonicTime LossTimerStart;
  /// When the first acknowledged probe of this run was sent.
  common::MonotonicTime RunFirstSeenAt;
  /// When the first probe since the last acknowledgement was sent.
  std::optional<common::MonotonicTime> UnansweredSince;
  /// Number of probes sent since the last acknowledgement.
  std::size_t UnansweredCount = 0;
  bool IsLost = false;
  /// Earlier runs of the same VM, newest last. They never become the current
  /// run again.
  std::vector<common::Incarnation> RetiredIncarnations;
};

} // namespace acaciacross::membership

#endif
