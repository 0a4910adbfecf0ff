#include "Upstreams/UpstreamChanges.h"

#include <utility>

namespace acaciacross::upstreams {

void UpstreamChanges::record(const SearcherState &State, UpstreamEventKind Kind,
                             const std::string &Cause) {
  this->Events.push_back(
      {Kind, State.Identity.Index, State.Identity.Id, Cause});
  this->Services.insert(State.Service);
}

void UpstreamChanges::markChanged(const common::ServiceName &Service) {
  this->Services.insert(Service);
}

std::vector<UpstreamEvent> UpstreamChanges::takeEvents() {
  return std::exchange(this->Events, {});
}

std::set<common::ServiceName> UpstreamChanges::takeServices() {
  return std::exchange(this->Services, {});
}

} // namespace acaciacross::upstreams
