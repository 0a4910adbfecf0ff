#ifndef ACACIACROSS_MEMBERSHIP_MEMBERSTATUS_H
#define ACACIACROSS_MEMBERSHIP_MEMBERSTATUS_H

#include "Common/Address.h"
#include "Common/Identifiers.h"
#include "Common/StorePosition.h"
#include "Membership/ServingState.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace acaciacross::membership {

/// Status that an entry VM reports of itself in probes and acknowledgements.
struct MemberStatus {
  common::VmId Vm;
  common::Incarnation Incarnation;
  ServingState State = ServingState::Joining;
  common::Address CallerAddress;
  std::string FailureDomain;
  /// Highest position of the published state, or highest configuration
  /// revision, that is in effect.
  common::StorePosition PositionInEffect;
  /// Hash over all keys and their revisions. It differs if VMs have different
  /// sets of documents although the highest revision is the same.
  std::uint64_t ConfigurationDigest = 0;
  /// Time since the configuration service last answered any VM, as far as the
  /// sender knows; at most configuration::FallbackReadSchedule::MaxAnswerAge.
  std::chrono::milliseconds ServiceAnswerAge{0};
  /// CPU capacity of the VM in thousandths of a core; 0 when unknown.
  unsigned CapacityMilliCores = 0;
  /// Share of about the last second in which its traffic thread was not
  /// waiting, in thousandths.
  unsigned BusyPerMille = 0;

  bool operator==(const MemberStatus &) const = default;
};

} // namespace acaciacross::membership

#endif
