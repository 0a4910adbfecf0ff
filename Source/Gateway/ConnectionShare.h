#ifndef ACACIACROSS_GATEWAY_CONNECTIONSHARE_H
#define ACACIACROSS_GATEWAY_CONNECTIONSHARE_H

#include "Forwarding/ServiceBook.h"

#include <cstddef>

namespace acaciacross::gateway {

/// How many connections this VM may hold to one searcher. All VMs together must
/// stay below what the searcher accepts, since it resets what is beyond, and
/// below what it can queue. Answers the load of bursts: requests wait at the
/// VMs, which can still choose among searchers.
class ConnectionShare {
public:
  /// At least 1.
  static std::size_t of(const forwarding::ServiceBook &Book,
                        const forwarding::SearcherEntry &Searcher);
};

} // namespace acaciacross::gateway

#endif
