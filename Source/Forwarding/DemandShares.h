#ifndef ACACIACROSS_FORWARDING_DEMANDSHARES_H
#define ACACIACROSS_FORWARDING_DEMANDSHARES_H

#include "Forwarding/ForwardRequest.h"
#include "Forwarding/RouteDemand.h"

#include <functional>
#include <map>
#include <span>
#include <string>

namespace acaciacross::forwarding {

/// Decides which requests leave room for others while there is too little for
/// all: the less urgent ones, as far as they have been served more often than
/// the more urgent ones, and those of callers that ask for more than their
/// share. No route is starved. Counts the recent requests of this VM.
class DemandShares {
public:
  void record(const ForwardRequest &Request, bool IsAdmitted,
              common::MonotonicTime Now);

  /// Returns a route that the request has to leave room for; null when there is
  /// none. Services: those that the request would be sent to. IsShort: whether
  /// requests of the given route have too little room now because of others. Of
  /// two routes with the same priority neither yields.
  const Route *
  yieldsTo(const ForwardRequest &Request,
           std::span<const common::ServiceName> Services,
           common::MonotonicTime Now,
           const std::function<bool(const RouteDemand &)> &IsShort) const;

  /// Whether the request's caller has clearly more than its share of the recent
  /// admitted requests of the route.
  bool isPressing(const ForwardRequest &Request,
                  common::MonotonicTime Now) const;

private:
  using CallerMap = std::map<common::CallerHost, RecentShare>;

  void dropFaded(common::MonotonicTime Now);

  std::map<std::string, RouteDemand> Routes;
  std::map<std::string, CallerMap> CallersByRoute;
  std::size_t CallerCount = 0;
  common::MonotonicTime NextDropAt;
};

} // namespace acaciacross::forwarding

#endif
