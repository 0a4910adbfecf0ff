#include "Gateway/ConnectionWaiters.h"

namespace acaciacross::gateway {

void ConnectionWaiters::add(const common::ServiceName &Service,
                            forwarding::AttemptListener &Listener) {
  this->ListenersByService[Service].push_back(&Listener);
}

std::vector<common::ServiceName> ConnectionWaiters::services() const {
  std::vector<common::ServiceName> Result;
  Result.reserve(this->ListenersByService.size());
  for (const auto &[Service, Listeners] : this->ListenersByService)
    Result.push_back(Service);
  return Result;
}

std::size_t ConnectionWaiters::count(const common::ServiceName &Service) const {
  const auto Found = this->ListenersByService.find(Service);
  return Found == this->ListenersByService.end() ? 0 : Found->second.size();
}

forwarding::AttemptListener *
ConnectionWaiters::takeFirst(const common::ServiceName &Service) {
  const auto Found = this->ListenersByService.find(Service);
  if (Found == this->ListenersByService.end())
    return nullptr;
  forwarding::AttemptListener *First = Found->second.front();
  Found->second.pop_front();
  if (Found->second.empty())
    this->ListenersByService.erase(Found);
  return First;
}

void ConnectionWaiters::remove(forwarding::AttemptListener &Listener) {
  for (auto &[Service, Queue] : this->ListenersByService)
    std::erase(Queue, &Listener);
  std::erase_if(this->ListenersByService,
                [](const auto &Entry) { return Entry.second.empty(); });
}

} // namespace acaciacross::gateway
