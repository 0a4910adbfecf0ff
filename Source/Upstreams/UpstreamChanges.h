#ifndef ACACIACROSS_UPSTREAMS_UPSTREAMCHANGES_H
#define ACACIACROSS_UPSTREAMS_UPSTREAMCHANGES_H

#include "Upstreams/SearcherState.h"
#include "Upstreams/UpstreamEvent.h"

#include <set>
#include <vector>

namespace acaciacross::upstreams {

/// Collects the changes of searchers until the control state takes them.
class UpstreamChanges {
public:
  /// Adds an event and marks the searcher's service as changed.
  void record(const SearcherState &State, UpstreamEventKind Kind,
              const std::string &Cause);
  void markChanged(const common::ServiceName &Service);

  /// Events since the last call.
  std::vector<UpstreamEvent> takeEvents();
  /// Services with changes of availability or share since the last call.
  std::set<common::ServiceName> takeServices();

private:
  std::vector<UpstreamEvent> Events;
  std::set<common::ServiceName> Services;
};

} // namespace acaciacross::upstreams

#endif
