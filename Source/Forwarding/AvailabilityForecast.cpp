#include "Forwarding/AvailabilityForecast.h"

#include <algorithm>
#include <optional>
#include <vector>

namespace acaciacross::forwarding {

namespace {

using std::chrono::milliseconds;

milliseconds untilServiceUsable(const ServiceRegistry &Registry,
                                const Route &Target,
                                const common::ServiceName &Service,
                                common::MonotonicTime Now,
                                milliseconds OtherDelay) {
  std::optional<milliseconds> Earliest;
  for (const auto &Replica : Registry.replicas(Service, Target)) {
    if (!Replica->isListed())
      continue;
    if (Replica->isUsable(Now))
      return milliseconds(0);
    const common::MonotonicTime AllowedAt = std::max(
        Replica->pausedUntil(), Replica->coldStart().nextAllowedAt(Now));
    const milliseconds Wait =
        AllowedAt > Now ? std::chrono::ceil<milliseconds>(AllowedAt - Now)
                        : OtherDelay;
    Earliest = std::min(Earliest.value_or(Wait), Wait);
  }
  return Earliest.value_or(OtherDelay);
}

} // namespace

milliseconds AvailabilityForecast::untilUsable(
    const ServiceRegistry &Registry, const Route &Target,
    std::span<const common::ServiceName> Services, std::size_t MinServices,
    common::MonotonicTime Now, milliseconds OtherDelay) {
  std::vector<milliseconds> Waits;
  Waits.reserve(Services.size());
  for (const common::ServiceName &Service : Services)
    Waits.push_back(
        untilServiceUsable(Registry, Target, Service, Now, OtherDelay));
  if (MinServices == 0 || MinServices > Waits.size())
    return OtherDelay;
  const auto Needed =
      Waits.begin() + static_cast<std::ptrdiff_t>(MinServices) - 1;
  std::ranges::nth_element(Waits, Needed);
  return *Needed;
}

} // namespace acaciacross::forwarding
