#include "Forwarding/ServiceRegistry.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace acaciacross::forwarding {

ServiceRegistry::ServiceRegistry(RetryBudgetSettings BudgetSettings,
                                 ColdStartSettings ColdStart,
                                 common::RegionMap Regions)
    : BudgetSettings(BudgetSettings), Regions(std::move(Regions)),
      Cold(ColdStart) {}

void ServiceRegistry::setEvacuatedDomains(std::set<std::string> Domains) {
  this->EvacuatedDomains = std::move(Domains);
  for (const auto &[Id, Record] : this->Searchers)
    Record->setEvacuated(
        this->EvacuatedDomains.contains(Record->entry().FailureDomain));
}

void ServiceRegistry::setSearchers(const std::vector<SearcherEntry> &Entries,
                                   common::MonotonicTime Now) {
  std::map<common::SearcherId, std::shared_ptr<ReplicaRecord>> Listed;
  this->ByService.clear();
  this->ByHomes.clear();
  for (const SearcherEntry &Entry : Entries) {
    const auto Known = this->Searchers.find(Entry.Id);
    std::shared_ptr<ReplicaRecord> Record;
    if (Known != this->Searchers.end() &&
        Known->second->entry().Service == Entry.Service) {
      Record = Known->second;
      const SearcherEntry Before = Record->entry();
      Record->update(Entry);
      this->Cold.onChanged(*Record, Before, Now);
    } else {
      Record = std::make_shared<ReplicaRecord>(Entry);
      this->Notices.applyTo(*Record);
      this->Cold.onListed(*Record, Now);
    }
    Record->setEvacuated(this->EvacuatedDomains.contains(Entry.FailureDomain));
    this->ByService[Entry.Service].push_back(Record);
    Listed.emplace(Entry.Id, std::move(Record));
  }
  for (const auto &[Id, Record] : this->Searchers) {
    const auto StillListed = Listed.find(Id);
    if (StillListed == Listed.end() || StillListed->second != Record) {
      Record->markRemoved();
      this->Cold.onRemoved(*Record, Now);
    }
  }
  this->Searchers = std::move(Listed);
}

void ServiceRegistry::setTable(std::shared_ptr<const RoutingTable> NewTable) {
  this->Table = std::move(NewTable);
  this->ByHomes.clear();
  this->Cold.setTable(this->Table, this->Searchers);
  std::set<std::string> Names;
  for (const Route &Target : this->Table->routes())
    Names.insert(Target.Name);
  const auto IsRemoved = [&](const auto &Item) {
    return !Names.contains(Item.first);
  };
  std::erase_if(this->Statistics, IsRemoved);
  std::erase_if(this->ServiceRotations, IsRemoved);
}

void ServiceRegistry::setFleet(const FleetShare &Share) { this->Fleet = Share; }

void ServiceRegistry::setMembers(const FleetMembers &Members,
                                 common::MonotonicTime Now) {
  this->Cold.updateMembers(Members, this->Searchers, Now);
}

bool ServiceRegistry::recordNotice(ReplicaRecord &Record,
                                   const SearcherNotice &Notice,
                                   common::MonotonicTime Now) {
  bool IsNew = false;
  const SearcherEntry &Searcher = Record.entry();
  if (Notice.IsLeaving && !Record.isLeaving()) {
    IsNew = true;
    Record.onLeaving();
    this->Notices.recordLeaving(Searcher, Now);
  }
  if (Notice.Pause) {
    IsNew = IsNew || !Record.isPaused(Now);
    Record.onPauseRequested(Now + *Notice.Pause);
    this->Notices.recordPause(Searcher, Now, Now + *Notice.Pause);
  }
  if (Notice.ColdLeft)
    this->Cold.onReported(Record, *Notice.ColdLeft, Now);
  if (!Notice.InvalidPause.empty() || !Notice.InvalidColdLeft.empty())
    IsNew = this->Notices.recordInvalid(Searcher, Now) || IsNew;
  return IsNew;
}

void ServiceRegistry::recordFailedConnect(ReplicaRecord &Record,
                                          common::MonotonicTime Now) {
  this->Cold.onConnectFailed(Record, Now);
}

const std::shared_ptr<const RoutingTable> &ServiceRegistry::table() const {
  return this->Table;
}

std::span<const std::shared_ptr<ReplicaRecord>>
ServiceRegistry::replicas(const common::ServiceName &Service) const {
  const auto Found = this->ByService.find(Service);
  if (Found == this->ByService.end())
    return {};
  return Found->second;
}

std::span<const std::shared_ptr<ReplicaRecord>>
ServiceRegistry::replicas(const common::ServiceName &Service,
                          const Route &Target) const {
  const std::span<const std::shared_ptr<ReplicaRecord>> All =
      this->replicas(Service);
  if (Target.AllowedRegions.empty())
    return All;
  const auto [Known, IsNew] =
      this->ByHomes[Target.AllowedRegions].try_emplace(Service);
  if (IsNew)
    std::ranges::copy_if(
        All, std::back_inserter(Known->second), [&](const auto &Replica) {
          return this->Regions.isIn(Replica->entry().FailureDomain,
                                    Target.AllowedRegions);
        });
  return Known->second;
}

// A budget is kept after its service leaves the table, because extra arrivals
// count against the bound for a whole window after the last request.
RetryBudget &ServiceRegistry::budget(const common::ServiceName &Service) {
  return this->Budgets.try_emplace(Service, this->BudgetSettings).first->second;
}

std::shared_ptr<RouteStatistics>
ServiceRegistry::statistics(const std::string &RouteName) {
  std::shared_ptr<RouteStatistics> &Found = this->Statistics[RouteName];
  if (Found == nullptr)
    Found = std::make_shared<RouteStatistics>();
  return Found;
}

RouteLatency ServiceRegistry::latency(const Route &Target) const {
  const auto Found = this->Statistics.find(Target.Name);
  const RouteStatistics Unknown;
  const RouteStatistics &Known =
      Found == this->Statistics.end() ? Unknown : *Found->second;
  return {Known.typical(Target.LatencyTarget),
          Known.unloadedLatency(Target.LatencyTarget)};
}

WeightedRoundRobin &
ServiceRegistry::serviceRotation(const std::string &RouteName) {
  return this->ServiceRotations[RouteName];
}

const FleetShare &ServiceRegistry::fleet() const { return this->Fleet; }

const std::set<std::string> &ServiceRegistry::evacuatedDomains() const {
  return this->EvacuatedDomains;
}

const ColdSearchers &ServiceRegistry::coldSearchers() const {
  return this->Cold;
}

const std::map<common::SearcherId, std::shared_ptr<ReplicaRecord>> &
ServiceRegistry::allSearchers() const {
  return this->Searchers;
}

} // namespace acaciacross::forwarding
