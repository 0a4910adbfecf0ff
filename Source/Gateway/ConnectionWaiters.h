#ifndef ACACIACROSS_GATEWAY_CONNECTIONWAITERS_H
#define ACACIACROSS_GATEWAY_CONNECTIONWAITERS_H

#include "Common/Identifiers.h"
#include "Forwarding/AttemptListener.h"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace acaciacross::gateway {

/// The listeners that await a connection to a searcher, by service and in the
/// order in which they came.
class ConnectionWaiters {
public:
  void add(const common::ServiceName &Service,
           forwarding::AttemptListener &Listener);
  /// The services for which a listener waits.
  std::vector<common::ServiceName> services() const;
  std::size_t count(const common::ServiceName &Service) const;
  /// Removes and returns the first listener; null when there is none.
  forwarding::AttemptListener *takeFirst(const common::ServiceName &Service);
  /// Removes the listener from all services.
  void remove(forwarding::AttemptListener &Listener);

private:
  std::map<common::ServiceName, std::deque<forwarding::AttemptListener *>>
      ListenersByService;
};

} // namespace acaciacross::gateway

#endif
