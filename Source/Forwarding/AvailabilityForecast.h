#ifndef ACACIACROSS_FORWARDING_AVAILABILITYFORECAST_H
#define ACACIACROSS_FORWARDING_AVAILABILITYFORECAST_H

#include "Common/Identifiers.h"
#include "Common/Time.h"
#include "Forwarding/ServiceRegistry.h"

#include <chrono>
#include <cstddef>
#include <span>

namespace acaciacross::forwarding {

/// Tells when a refused caller may come back, from the pauses that the
/// searchers of its services have asked for and the allowances of cold ones.
class AvailabilityForecast {
public:
  /// Returns the time until MinServices of the services have a searcher that
  /// may be asked for the route. OtherDelay: the time for a service that
  /// neither a pause nor an allowance keeps from being asked, but that is not
  /// usable for another reason.
  static std::chrono::milliseconds
  untilUsable(const ServiceRegistry &Registry, const Route &Target,
              std::span<const common::ServiceName> Services,
              std::size_t MinServices, common::MonotonicTime Now,
              std::chrono::milliseconds OtherDelay);
};

} // namespace acaciacross::forwarding

#endif
