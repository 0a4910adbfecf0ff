#include "Forwarding/ReachabilityAdmission.h"

#include <algorithm>

namespace acaciacross::forwarding {

namespace {

// Searchers that are not listed come back with their next entry at the
// earliest; unreachable ones are tried again within a second.
constexpr std::chrono::milliseconds RetryPause{500};

bool canServe(const ServiceBook &Book, const common::ServiceName &Service,
              common::MonotonicTime Now) {
  return std::ranges::any_of(Book.replicas(Service), [&](const auto &Each) {
    return Each->isListed() && Each->isReachable(Now);
  });
}

} // namespace

std::optional<Refusal>
ReachabilityAdmission::check(const ForwardRequest &Request,
                             std::span<const common::ServiceName> Services,
                             const ServiceBook &Book,
                             common::MonotonicTime Now) const {
  const auto Usable = std::ranges::count_if(
      Services, [&](const auto &Each) { return canServe(Book, Each, Now); });
  const std::size_t Least =
      Request.Target->Gather ? Request.Target->Gather->minShards() : 1;
  if (static_cast<std::size_t>(Usable) >= Least)
    return std::nullopt;
  return Refusal{common::ResultCode::NoUsableReplica, RetryPause, {}, {}};
}

} // namespace acaciacross::forwarding
