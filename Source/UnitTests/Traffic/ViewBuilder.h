#ifndef ACACIACROSS_UNITTESTS_TRAFFIC_VIEWBUILDER_H
#define ACACIACROSS_UNITTESTS_TRAFFIC_VIEWBUILDER_H

#include "Control/ControlView.h"

#include <memory>

namespace acaciacross::traffic {

/// Returns a view in the state serving of the service "lots", with one shard on
/// one searcher and the classes "read" (repeatable) and "book" (not
/// repeatable).
inline std::shared_ptr<control::ControlView>
makeView(const common::Address &Endpoint) {
  auto Service = std::make_shared<query::ServiceView>();
  Service->Name = common::ServiceName("lots");
  query::SearcherView Searcher;
  Searcher.Id = common::SearcherId("lots-0-0");
  Searcher.Endpoint = Endpoint;
  Searcher.ConnectionQuota = 2;
  Service->Searchers.push_back(Searcher);
  Service->Snapshots.push_back(
      {common::SnapshotId("s"), {{common::ShardId(3), {0, 9}, 100, {0}}}});

  auto View = std::make_shared<control::ControlView>();
  View->State = membership::ServingState::Serving;
  View->Services[Service->Name] = Service;
  for (const char *Name : {"read", "book"}) {
    configuration::ClassDefinition Class;
    Class.Name = common::ClassName(Name);
    Class.Service = Service->Name;
    Class.LatencyTarget = std::chrono::milliseconds(500);
    Class.Repeatable = Class.Name.Value == "read";
    View->Classes[Class.Name] = Class;
  }
  return View;
}

} // namespace acaciacross::traffic

#endif
