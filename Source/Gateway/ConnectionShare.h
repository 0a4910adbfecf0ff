#ifndef ACACIACROSS_GATEWAY_CONNECTIONSHARE_H
#define ACACIACROSS_GATEWAY_CONNECTIONSHARE_H

#include "Forwarding/ServiceRegistry.h"

#include <cstddef>

namespace acaciacross::gateway {

/// Maximum number of connections that this VM may hold to one searcher. The
/// shares of all VMs together stay below the connection limit of the searcher,
/// which resets connections beyond it, and below the number of requests that it
/// can queue. During a burst, requests therefore wait at the VMs, which can
/// still choose among searchers.
class ConnectionShare {
public:
  /// Returns at least 1.
  static std::size_t forSearcher(const forwarding::ServiceRegistry &Registry,
                                 const forwarding::SearcherEntry &Searcher);
};

} // namespace acaciacross::gateway

#endif
