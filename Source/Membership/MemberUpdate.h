#ifndef ACACIACROSS_MEMBERSHIP_MEMBERUPDATE_H
#define ACACIACROSS_MEMBERSHIP_MEMBERUPDATE_H

#include "Common/Address.h"
#include "Common/Identifiers.h"
#include "Membership/ServingState.h"

namespace acaciacross::membership {

/// State of a VM as reported by another VM. It is no evidence that the VM is
/// alive; the receiver probes the address itself.
struct MemberUpdate {
  common::VmId Vm;
  common::Incarnation Incarnation;
  ServingState State = ServingState::Joining;
  common::Address PeerAddress;

  bool operator==(const MemberUpdate &) const = default;
};

} // namespace acaciacross::membership

#endif
