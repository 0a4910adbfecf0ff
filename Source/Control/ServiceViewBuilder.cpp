#include "Control/ServiceViewBuilder.h"

#include "Limits/ConnectionQuota.h"

#include <algorithm>
#include <utility>

namespace acaciacross::control {

namespace {

query::SnapshotView buildSnapshotView(
    const configuration::PartitionMap &Map,
    const std::map<common::SearcherId, std::uint32_t> &ViewIndices) {
  query::SnapshotView View;
  View.Id = Map.Snapshot;
  for (const configuration::ShardDefinition &Shard : Map.Shards) {
    query::ShardView ShardView{Shard.Id, Shard.Range, Shard.Documents, {}};
    for (const common::SearcherId &Replica : Shard.Replicas)
      ShardView.Replicas.push_back(ViewIndices.at(Replica));
    View.Shards.push_back(std::move(ShardView));
  }
  return View;
}

} // namespace

ServiceViewBuilder::ServiceViewBuilder(
    std::string OwnZone, SearcherTable &SharedSearchers,
    const upstreams::UpstreamTracker &Tracker)
    : Zone(std::move(OwnZone)), Searchers(SharedSearchers), Upstreams(Tracker) {
}

std::set<common::ServiceName> ServiceViewBuilder::setDocuments(
    const configuration::ConfigurationStore &Store) {
  const auto OldDocuments = std::exchange(this->Documents, Store.services());
  const auto OldServiceCounts = std::exchange(this->ServiceCounts, {});
  const std::uint32_t OldMaxEntryVms = this->MaxEntryVms;
  this->MaxEntryVms = Store.classes() ? Store.classes()->Budget.MaxEntryVms : 0;
  for (const auto &[Name, Document] : this->Documents)
    for (const configuration::SearcherDefinition &Searcher :
         Document->Searchers)
      ++this->ServiceCounts[Searcher.Endpoint];

  std::set<common::ServiceName> ChangedServices;
  for (const auto &[Name, Document] : this->Documents) {
    const auto It = OldDocuments.find(Name);
    const bool IsUnchanged =
        It != OldDocuments.end() && It->second == Document &&
        OldMaxEntryVms == this->MaxEntryVms &&
        std::all_of(Document->Searchers.begin(), Document->Searchers.end(),
                    [&](const configuration::SearcherDefinition &Searcher) {
                      return OldServiceCounts.at(Searcher.Endpoint) ==
                             this->ServiceCounts.at(Searcher.Endpoint);
                    });
    if (!IsUnchanged)
      ChangedServices.insert(Name);
  }
  return ChangedServices;
}

std::shared_ptr<const query::ServiceView>
ServiceViewBuilder::build(const common::ServiceName &Service) const {
  const auto It = this->Documents.find(Service);
  if (It == this->Documents.end() || this->MaxEntryVms == 0)
    return nullptr;
  auto View = std::make_shared<query::ServiceView>();
  View->Name = Service;
  std::map<common::SearcherId, std::uint32_t> ViewIndices;
  for (const configuration::SearcherDefinition &Searcher :
       It->second->Searchers) {
    ViewIndices.emplace(Searcher.Id,
                        static_cast<std::uint32_t>(View->Searchers.size()));
    View->Searchers.push_back(this->buildSearcherView(Searcher));
  }
  for (const configuration::PartitionMap &Map : It->second->Snapshots)
    View->Snapshots.push_back(buildSnapshotView(Map, ViewIndices));
  return View;
}

std::uint32_t ServiceViewBuilder::connectionQuota(
    const configuration::SearcherDefinition &Searcher) const {
  // Each service has its own traffic thread, which does not know the
  // connections of the others, so the services at one address divide its
  // connection limit.
  const auto It = this->ServiceCounts.find(Searcher.Endpoint);
  const std::uint32_t Services =
      It == this->ServiceCounts.end() ? 1 : It->second;
  if (this->MaxEntryVms == 0)
    return 0;
  return limits::ConnectionQuota(this->MaxEntryVms)
      .perVm(Searcher.MaxConnections, Services);
}

query::SearcherView ServiceViewBuilder::buildSearcherView(
    const configuration::SearcherDefinition &Searcher) const {
  query::SearcherView View;
  View.Index = this->Searchers.assign(Searcher.Id);
  View.Id = Searcher.Id;
  View.Endpoint = Searcher.Endpoint;
  View.SameZone = Searcher.Zone == this->Zone;
  View.Availability = this->Upstreams.availability(View.Index);
  View.Slots = Searcher.Slots;
  View.ConnectionQuota = this->connectionQuota(Searcher);
  View.SlowStartWeight = this->Upstreams.share(View.Index);
  // The connection limit takes precedence over availability, so a searcher
  // without a quota gets no requests. libcurl interprets a limit of 0 as "no
  // limit".
  const bool IsUsableWithoutQuota =
      View.ConnectionQuota == 0 &&
      View.Availability == query::SearcherAvailability::Usable;
  if (IsUsableWithoutQuota)
    View.Availability = query::SearcherAvailability::Ejected;
  return View;
}

} // namespace acaciacross::control
