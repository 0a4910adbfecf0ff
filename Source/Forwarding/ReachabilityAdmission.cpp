#include "Forwarding/ReachabilityAdmission.h"

#include "Forwarding/AvailabilityForecast.h"

#include <algorithm>

namespace acaciacross::forwarding {

namespace {

// Unlisted searchers return with their next published entry at the earliest;
// unreachable searchers are tried again within one second.
constexpr std::chrono::milliseconds RetryDelay{500};

bool canServe(const ServiceRegistry &Registry, const Route &Target,
              const common::ServiceName &Service, common::MonotonicTime Now,
              common::MonotonicTime LatestStart) {
  return std::ranges::any_of(
      Registry.replicas(Service, Target), [&](const auto &Replica) {
        return Replica->isListed() && Replica->isReachable(Now) &&
               Replica->pausedUntil() <= LatestStart &&
               !Replica->coldStart().isUsedUp(Now);
      });
}

void countWithheld(const ServiceRegistry &Registry,
                   std::span<const common::ServiceName> Services,
                   common::MonotonicTime Now) {
  for (const common::ServiceName &Service : Services)
    for (const auto &Replica : Registry.replicas(Service))
      if (Replica->coldStart().isUsedUp(Now))
        Replica->coldStart().onWithheld();
}

} // namespace

std::optional<Refusal>
ReachabilityAdmission::check(const ForwardRequest &Request,
                             std::span<const common::ServiceName> Services,
                             const ServiceRegistry &Registry,
                             common::MonotonicTime Now) const {
  const common::MonotonicTime LatestStart = std::max(
      Now, Request.latestStart(Registry.latency(*Request.Target).Typical));
  const auto UsableServices =
      std::ranges::count_if(Services, [&](const auto &Service) {
        return canServe(Registry, *Request.Target, Service, Now, LatestStart);
      });
  const std::size_t MinServices =
      Request.Target->Gather ? Request.Target->Gather->minShards() : 1;
  if (static_cast<std::size_t>(UsableServices) >= MinServices)
    return std::nullopt;
  countWithheld(Registry, Services, Now);
  return Refusal{common::ResultCode::NoUsableReplica,
                 AvailabilityForecast::untilUsable(Registry, *Request.Target,
                                                   Services, MinServices, Now,
                                                   RetryDelay),
                 {},
                 {}};
}

} // namespace acaciacross::forwarding
