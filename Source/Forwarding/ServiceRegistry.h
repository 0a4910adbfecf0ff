#ifndef ACACIACROSS_FORWARDING_SERVICEREGISTRY_H
#define ACACIACROSS_FORWARDING_SERVICEREGISTRY_H

#include "Common/Identifiers.h"
#include "Common/RegionMap.h"
#include "Forwarding/ColdSearchers.h"
#include "Forwarding/FleetMembers.h"
#include "Forwarding/FleetShare.h"
#include "Forwarding/ReplicaRecord.h"
#include "Forwarding/RetryBudget.h"
#include "Forwarding/RouteLatency.h"
#include "Forwarding/RouteStatistics.h"
#include "Forwarding/RoutingTable.h"
#include "Forwarding/SearcherNotice.h"
#include "Forwarding/SearcherNotices.h"
#include "Forwarding/WeightedRoundRobin.h"

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace acaciacross::forwarding {

/// Registry of services, searchers and routes on the traffic thread. Replicas
/// and budgets persist across changes of the routing table.
class ServiceRegistry {
public:
  /// Regions: where the homes of a route find the failure domains.
  explicit ServiceRegistry(RetryBudgetSettings BudgetSettings,
                           ColdStartSettings ColdStart = {},
                           common::RegionMap Regions = {});

  /// Replaces the set of failure domains whose searchers must get nothing, both
  /// for the searchers that are published and for those that will be.
  void setEvacuatedDomains(std::set<std::string> Domains);
  /// Replaces the list of published searchers. Now: when the entries arrived,
  /// from which the time that they stay cold is counted.
  void setSearchers(const std::vector<SearcherEntry> &Entries,
                    common::MonotonicTime Now = {});
  /// Replaces the routing table and drops the state of routes that it no longer
  /// contains. Retry budgets are kept.
  void setTable(std::shared_ptr<const RoutingTable> NewTable);
  void setFleet(const FleetShare &Share);
  /// Must be called several times a second.
  void setMembers(const FleetMembers &Members, common::MonotonicTime Now);

  /// Records what a searcher said of itself in a response. Returns whether the
  /// notice changes how the searcher is used or is its first invalid one.
  bool recordNotice(ReplicaRecord &Record, const SearcherNotice &Notice,
                    common::MonotonicTime Now);
  /// No connection to the searcher could be set up.
  void recordFailedConnect(ReplicaRecord &Record, common::MonotonicTime Now);

  const std::shared_ptr<const RoutingTable> &table() const;
  /// All published replicas of the service.
  std::span<const std::shared_ptr<ReplicaRecord>>
  replicas(const common::ServiceName &Service) const;
  /// The published replicas of the service that requests of the route may be
  /// sent to: those in its homes. Valid until the searchers or the table are
  /// replaced.
  std::span<const std::shared_ptr<ReplicaRecord>>
  replicas(const common::ServiceName &Service, const Route &Target) const;
  RetryBudget &budget(const common::ServiceName &Service);
  std::shared_ptr<RouteStatistics> statistics(const std::string &RouteName);
  RouteLatency latency(const Route &Target) const;
  WeightedRoundRobin &serviceRotation(const std::string &RouteName);
  const FleetShare &fleet() const;
  const std::set<std::string> &evacuatedDomains() const;
  const ColdSearchers &coldSearchers() const;
  const std::map<common::SearcherId, std::shared_ptr<ReplicaRecord>> &
  allSearchers() const;

private:
  using ReplicasByService =
      std::unordered_map<common::ServiceName,
                         std::vector<std::shared_ptr<ReplicaRecord>>>;

  RetryBudgetSettings BudgetSettings;
  common::RegionMap Regions;
  FleetShare Fleet;
  std::shared_ptr<const RoutingTable> Table;
  SearcherNotices Notices;
  std::set<std::string> EvacuatedDomains;
  ColdSearchers Cold;
  std::map<common::SearcherId, std::shared_ptr<ReplicaRecord>> Searchers;
  ReplicasByService ByService;
  /// The replicas in sets of homes, as far as they have been asked for since
  /// the searchers or the table were replaced.
  mutable std::map<std::vector<std::string>, ReplicasByService> ByHomes;
  std::unordered_map<common::ServiceName, RetryBudget> Budgets;
  std::unordered_map<std::string, std::shared_ptr<RouteStatistics>> Statistics;
  std::unordered_map<std::string, WeightedRoundRobin> ServiceRotations;
};

} // namespace acaciacross::forwarding

#endif
