#ifndef ACACIACROSS_FLEET_FLEETVIEWLISTENER_H
#define ACACIACROSS_FLEET_FLEETVIEWLISTENER_H

#include "Common/Address.h"
#include "Common/Time.h"
#include "Fleet/FleetView.h"
#include "Membership/MemberStatus.h"

namespace acaciacross::fleet {

/// Receives the view of the fleet after each round of probes.
/// Called on the control thread.
class FleetViewListener {
public:
  virtual ~FleetViewListener() = default;

  virtual void onFleetView(const FleetView &View) = 0;
  /// A peer acknowledged a probe that was sent at SentAt.
  virtual void onPeerAcknowledged(const common::Address &Peer,
                                  const membership::MemberStatus &Status,
                                  common::MonotonicTime SentAt) = 0;
};

} // namespace acaciacross::fleet

#endif
