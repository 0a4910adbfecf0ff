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

/// Builds service views from the documents in effect and the state of the
/// searchers.
class ServiceViewBuilder {
public:
  /// The references must outlive the builder.
  ServiceViewBuilder(std::string OwnZone, SearcherTable &SharedSearchers,
                     const upstreams::UpstreamTracker &Tracker);

  /// Sets the documents in effect; to be called whenever they change. Returns
  /// the services whose documents or connection quotas have changed.
  std::set<common::ServiceName>
  setDocuments(const configuration::ConfigurationStore &Store);

  /// Null if no document of the service or no document "classes" is in effect.
  std::shared_ptr<const query::ServiceView>
  build(const common::ServiceName &Service) const;

  /// Number of connections that this VM may have to the searcher. 0 if the
  /// searcher's connection limit does not allow one connection to each entry
  /// VM.
  std::uint32_t
  connectionQuota(const configuration::SearcherDefinition &Searcher) const;

private:
  query::SearcherView
  buildSearcherView(const configuration::SearcherDefinition &Searcher) const;

  std::string Zone;
  SearcherTable &Searchers;
  const upstreams::UpstreamTracker &Upstreams;
  configuration::ConfigurationStore::Services Documents;
  /// 0 until a document "classes" is in effect.
  std::uint32_t MaxEntryVms = 0;
  /// Number of services with a searcher at the address.
  std::map<common::Address, std::uint32_t> ServiceCounts;
};

} // namespace acaciacross::control

#endif
