#ifndef ACACIACROSS_TRAFFIC_ROUTERSETTINGS_H
#define ACACIACROSS_TRAFFIC_ROUTERSETTINGS_H

#include "Tickets/IssuerIdentity.h"

#include <cstdint>

namespace acaciacross::traffic {

/// Settings that all traffic threads of this process share.
struct RouterSettings {
  tickets::IssuerIdentity Identity;
  /// The seeds of the threads are derived from it.
  std::uint64_t RandomSeed = 0;
};

} // namespace acaciacross::traffic

#endif
