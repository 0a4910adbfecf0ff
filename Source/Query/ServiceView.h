#ifndef ACACIACROSS_QUERY_SERVICEVIEW_H
#define ACACIACROSS_QUERY_SERVICEVIEW_H

#include "Query/SearcherView.h"
#include "Query/SnapshotView.h"

#include <vector>

namespace acaciacross::query {

/// Immutable state of a service, built by the control thread.
struct ServiceView {
  common::ServiceName Name;
  std::vector<SearcherView> Searchers;
  /// Newest first.
  std::vector<SnapshotView> Snapshots;
};

} // namespace acaciacross::query

#endif
