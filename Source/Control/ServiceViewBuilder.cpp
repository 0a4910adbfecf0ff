#include "Control/ServiceViewBuilder.h"

#include "Limits/ConnectionQuota.h"

#include <algorithm>
#include <utility>

namespace acaciacross::control {

namespace {

query::SnapshotView
snapshotView(const configuration::PartitionMap &Map,
             const std::map<common::SearcherId, std::uint32_t> &Positions) {
  query::SnapshotView View;
  View.Id = Map.Snapshot;
  for (const configuration::ShardDefinition &Shard : Map.Shards) {
    query::ShardView ShardView{Shard.Id, Shard.Range, Shard.Documents, {}};
    for (const common::SearcherId &Replica : Shard.Replicas)
      ShardView.Replicas.push_back(Positions.at(Replica));
    View.Shards.push_back(std::move(ShardView));
  }
  return View;
}

} // namespace

ServiceViewBuilder::ServiceViewBuilder(
    std::string OwnZone, SearcherTable &AllSearchers,
    const upstreams::UpstreamTracker &Tracker)
    : Zone(std::move(OwnZone)), Searchers(AllSearchers), Upstreams(Tracker) {}

std::set<common::ServiceName> ServiceViewBuilder::setDocuments(
    const configuration::ConfigurationStore &Store) {
  const auto OldDocuments = std::exchange(this->Documents, Store.services());
  const auto OldSharers = std::exchange(this->Sharers, {});
  const std::uint32_t OldMaxEntryVms = this->MaxEntryVms;
  this->MaxEntryVms = Store.classes() ? Store.classes()->Budget.MaxEntryVms : 0;
  for (const auto &[Name, Document] : this->Documents)
    for (const configuration::SearcherDefinition &Searcher :
         Document->Searchers)
      ++this->Sharers[Searcher.Endpoint];

  std::set<common::ServiceName> Differing;
  for (const auto &[Name, Document] : this->Documents) {
    const auto Old = OldDocuments.find(Name);
    const bool IsSame =
        Old != OldDocuments.end() && Old->second == Document &&
        OldMaxEntryVms == this->MaxEntryVms &&
        std::all_of(Document->Searchers.begin(), Document->Searchers.end(),
                    [&](const configuration::SearcherDefinition &Searcher) {
                      return OldSharers.at(Searcher.Endpoint) ==
                             this->Sharers.at(Searcher.Endpoint);
                    });
    if (!IsSame)
      Differing.insert(Name);
  }
  return Differing;
}

std::shared_ptr<const query::ServiceView>
ServiceViewBuilder::build(const common::ServiceName &Service) const {
  const auto Document = this->Documents.find(Service);
  if (Document == this->Documents.end() || this->MaxEntryVms == 0)
    return nullptr;
  auto View = std::make_shared<query::ServiceView>();
  View->Name = Service;
  std::map<common::SearcherId, std::uint32_t> Positions;
  for (const configuration::SearcherDefinition &Searcher :
       Document->second->Searchers) {
    Positions.emplace(Searcher.Id,
                      static_cast<std::uint32_t>(View->Searchers.size()));
    View->Searchers.push_back(this->viewOf(Searcher));
  }
  for (const configuration::PartitionMap &Map : Document->second->Snapshots)
    View->Snapshots.push_back(snapshotView(Map, Positions));
  return View;
}

std::uint32_t ServiceViewBuilder::connectionQuota(
    const configuration::SearcherDefinition &Searcher) const {
  // Each service has a traffic thread of its own that knows nothing of the
  // connections of the others, so services at one address divide its cap.
  const auto Position = this->Sharers.find(Searcher.Endpoint);
  const std::uint32_t Services =
      Position == this->Sharers.end() ? 1 : Position->second;
  if (this->MaxEntryVms == 0)
    return 0;
  return limits::ConnectionQuota(this->MaxEntryVms)
      .perVm(Searcher.MaxConnections, Services);
}

query::SearcherView ServiceViewBuilder::viewOf(
    const configuration::SearcherDefinition &Searcher) const {
  query::SearcherView View;
  View.Index = this->Searchers.assign(Searcher.Id);
  View.Id = Searcher.Id;
  View.Endpoint = Searcher.Endpoint;
  View.SameZone = Searcher.Zone == this->Zone;
  View.Availability = this->Upstreams.availability(View.Index);
  View.Slots = Searcher.Slots;
  View.ConnectionQuota = this->connectionQuota(Searcher);
  View.Share = this->Upstreams.share(View.Index);
  // The connection cap outranks availability, so a searcher without a quota
  // gets no work. (libcurl reads a limit of 0 as "no limit".)
  const bool IsOutOfReach =
      View.ConnectionQuota == 0 &&
      View.Availability == query::SearcherAvailability::Usable;
  if (IsOutOfReach)
    View.Availability = query::SearcherAvailability::Ejected;
  return View;
}

} // namespace acaciacross::control
