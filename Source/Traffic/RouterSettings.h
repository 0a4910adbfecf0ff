#ifndef ACACIACROSS_TRAFFIC_ROUTERSETTINGS_H
#define ACACIACROSS_TRAFFIC_ROUTERSETTINGS_H

#include "Tickets/IssuerIdentity.h"

#include <cstdint>

namespace acaciacross::traffic {

/// What the traffic threads of this process have in common.
struct RouterSettings {
  tickets::IssuerIdentity Identity;
  /// The threads draw seeds of their own from it.
  std::uint64_t RandomSeed = 0;
};

} // namespace acaciacross::traffic

#endif
