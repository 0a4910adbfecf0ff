#ifndef ACACIACROSS_FORWARDING_SERVICEREGISTRY_H
#define ACACIACROSS_FORWARDING_SERVICEREGISTRY_H

#include "Common/Identifiers.h"
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
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace acaciacross::forwarding {

/// Registry of services, searchers and routes on the traffic thread. Replicas
/// and budgets persist across changes of the routing table.
class ServiceRegistry {
public:
  explicit ServiceRegistry(RetryBudgetSettings BudgetSettings,
                           ColdStartSettings ColdStart = {});

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
  std::span<const std::shared_ptr<ReplicaRecord>>
  replicas(const common::ServiceName &Service) const;
  RetryBudget &budget(const common::ServiceName &Service);
  std::shared_ptr<RouteStatistics> statistics(const std::string &RouteName);
  RouteLatency latency(const Route &Target) const;
  WeightedRoundRobin &serviceRotation(const std::string &RouteName);
  const FleetShare &fleet() const;
  const ColdSearchers &coldSearchers() const;
  const std::map<common::SearcherId, std::shared_ptr<ReplicaRecord>> &
  allSearchers() const;

private:
  RetryBudgetSettings BudgetSettings;
  FleetShare Fleet;
  std::shared_ptr<const RoutingTable> Table;
  SearcherNotices Notices;
  ColdSearchers Cold;
  std::map<common::SearcherId, std::shared_ptr<ReplicaRecord>> Searchers;
  std::unordered_map<common::ServiceName,
                     std::vector<std::shared_ptr<ReplicaRecord>>>
      ByService;
  std::unordered_map<common::ServiceName, RetryBudget> Budgets;
  std::unordered_map<std::string, std::shared_ptr<RouteStatistics>> Statistics;
  std::unordered_map<std::string, WeightedRoundRobin> ServiceRotations;
};

} // namespace acaciacross::forwarding

#endif
