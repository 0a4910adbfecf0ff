#ifndef ACACIACROSS_CONTROL_SERVICEVIEWBUILDER_H
#define ACACIACROSS_CONTROL_SERVICEVIEWBUILDER_H

#include "Configuration/ConfigurationStore.h"
#include "Control/SearcherTable.h"
#include "Query/ServiceView.h"
#include "Upstreams/UpstreamTracker.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace acaciacross::control {

/// Makes service views from the documents in effect and the state of the
/// searchers.
class ServiceViewBuilder {
public:
  /// The references must outlive the builder.
  ServiceViewBuilder(std::string OwnZone, SearcherTable &AllSearchers,
                     const upstreams::UpstreamTracker &Tracker);

  /// Takes the documents in effect; to be called whenever they change. Returns
  /// the services whose documents or connection quotas differ from before.
  std::set<common::ServiceName>
  setDocuments(const configuration::ConfigurationStore &Store);

  /// Null when no such service is in effect or "classes" is not.
  std::shared_ptr<const query::ServiceView>
  build(const common::ServiceName &Service) const;

  /// Connections that this VM may hold to the searcher. 0 when the cap does not
  /// suffice for one connection of each entry VM.
  std::uint32_t
  connectionQuota(const configuration::SearcherDefinition &Searcher) const;

private:
  query::SearcherView
  viewOf(const configuration::SearcherDefinition &Searcher) const;

  std::string Zone;
  SearcherTable &Searchers;
  const upstreams::UpstreamTracker &Upstreams;
  configuration::ConfigurationStore::Services Documents;
  /// 0 until "classes" is in effect.
  std::uint32_t MaxEntryVms = 0;
  /// How many services name a searcher at the address.
  std::map<common::Address, std::uint32_t> Sharers;
};

} // namespace acaciacross::control

#endif
