#ifndef ACACIACROSS_FLEET_FLEETVIEWLISTENER_H
#define ACACIACROSS_FLEET_FLEETVIEWLISTENER_H

#include "Fleet/FleetView.h"

namespace acaciacross::fleet {

/// Told of the fleet after each round of probes, on the control thread.
class FleetViewListener {
public:
  virtual ~FleetViewListener() = default;

  virtual void onFleet(const FleetView &View) = 0;
};

} // namespace acaciacross::fleet

#endif
