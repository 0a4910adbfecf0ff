#ifndef ACACIACROSS_MEMBERSHIP_MEMBERSTATUS_H
#define ACACIACROSS_MEMBERSHIP_MEMBERSTATUS_H

#include "Common/Address.h"
#include "Common/Identifiers.h"
#include "Membership/ServingState.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace acaciacross::membership {

/// What an entry VM says of itself in probes and acknowledgements.
struct MemberStatus {
  common::VmId Vm;
  common::Incarnation Run;
  ServingState State = ServingState::Joining;
  common::Address Callers;
  std::string FailureDomain;
  /// Highest revision in effect.
  common::Revision InEffect;
  /// Hash over every key and its revision; differs when VMs hold different
  /// sets below the same highest revision.
  std::uint64_t ConfigurationDigest = 0;
  /// How long ago the configuration service answered any VM that the sender
  /// knows of; saturates at configuration::ReadSchedule::MaxAge.
  std::chrono::milliseconds ServiceAnswerAge{0};
  /// Processor that the VM may use, in thousandths of a core; 0 when unknown.
  unsigned CapacityMilliCores = 0;
  /// Share of the last second or so in which its traffic thread did not wait,
  /// in thousandths.
  unsigned BusyPerMille = 0;

  bool operator==(const MemberStatus &) const = default;
};

} // namespace acaciacross::membership

#endif
