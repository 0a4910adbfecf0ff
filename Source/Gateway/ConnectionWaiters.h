#ifndef ACACIACROSS_GATEWAY_CONNECTIONWAITERS_H
#define ACACIACROSS_GATEWAY_CONNECTIONWAITERS_H

#include "Common/Identifiers.h"
#include "Forwarding/AttemptListener.h"
#include "Forwarding/UrgencyOrder.h"
#include "Gateway/PriorityCounter.h"

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

namespace acaciacross::gateway {

/// The listeners that await a connection to a searcher, by service. Their order
/// is that of forwarding::UrgencyOrder.
class ConnectionWaiters {
public:
  void add(const common::ServiceName &Service,
           forwarding::AttemptListener &Listener,
           const forwarding::Urgency &Place, common::MonotonicTime Now);
  /// The services for which a listener waits.
  std::vector<common::ServiceName> services() const;
  std::size_t count(const common::ServiceName &Service) const;
  /// Number of listeners with the given or a more urgent priority.
  std::size_t countUpTo(const common::ServiceName &Service, int Priority) const;
  /// Removes and returns the next listener; null when there is none.
  forwarding::AttemptListener *takeNext(const common::ServiceName &Service,
                                        common::MonotonicTime Now);
  /// Removes the listener from all services.
  void remove(forwarding::AttemptListener &Listener, common::MonotonicTime Now);

  /// Writes the number of waits and their time in the Prometheus text format.
  void write(std::ostream &Page) const;

private:
  struct Wait {
    common::MonotonicTime Since;
    int Priority = 0;
  };
  using WaitMap = std::map<common::ServiceName, Wait>;

  void recordEnd(const Wait &Ended, common::MonotonicTime Now);

  std::map<common::ServiceName, forwarding::UrgencyOrder> OrderByService;
  std::unordered_map<forwarding::AttemptListener *, WaitMap> WaitsByListener;
  PriorityCounter WaitCounts;
  PriorityCounter WaitSeconds;
};

} // namespace acaciacross::gateway

#endif
