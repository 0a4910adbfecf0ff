#ifndef ACACIACROSS_PEERING_FLEETAUDIT_H
#define ACACIACROSS_PEERING_FLEETAUDIT_H

#include "Control/ControlState.h"
#include "Membership/FleetEvent.h"

#include <string>

namespace acaciacross::peering {

/// Writes changes in the fleet to the audit trail and the log.
class FleetAudit {
public:
  explicit FleetAudit(control::ControlState &State);

  /// Cause names the evidence for the change, for example "peer entry-2".
  void record(const membership::FleetEvent &Event, const std::string &Cause);

private:
  control::ControlState &State;
};

} // namespace acaciacross::peering

#endif
