#ifndef ACACIACROSS_MEMBERSHIP_FLEETEVENT_H
#define ACACIACROSS_MEMBERSHIP_FLEETEVENT_H

#include "Common/Identifiers.h"
#include "Membership/FleetEventKind.h"

namespace acaciacross::membership {

/// A change of one peer.
struct FleetEvent {
  FleetEventKind Kind = FleetEventKind::Joined;
  common::VmId Vm;
  common::Incarnation Incarnation;

  bool operator==(const FleetEvent &) const = default;
};

} // namespace acaciacross::membership

#endif
