#include "Gateway/ConnectionWaiters.h"

#include <chrono>

namespace acaciacross::gateway {

void ConnectionWaiters::add(const common::ServiceName &Service,
                            forwarding::AttemptListener &Listener,
                            const forwarding::Urgency &Place,
                            common::MonotonicTime Now) {
  this->OrderByService[Service].add(Listener, Place);
  this->WaitsByListener[&Listener].try_emplace(Service,
                                               Wait{Now, Place.Priority});
}

std::vector<common::ServiceName> ConnectionWaiters::services() const {
  std::vector<common::ServiceName> Result;
  Result.reserve(this->OrderByService.size());
  for (const auto &[Service, Order] : this->OrderByService)
    Result.push_back(Service);
  return Result;
}

std::size_t ConnectionWaiters::count(const common::ServiceName &Service) const {
  const auto Found = this->OrderByService.find(Service);
  return Found == this->OrderByService.end() ? 0 : Found->second.size();
}

std::size_t ConnectionWaiters::countUpTo(const common::ServiceName &Service,
                                         int Priority) const {
  const auto Found = this->OrderByService.find(Service);
  return Found == this->OrderByService.end()
             ? 0
             : Found->second.countUpTo(Priority);
}

forwarding::AttemptListener *
ConnectionWaiters::takeNext(const common::ServiceName &Service,
                            common::MonotonicTime Now) {
  const auto Found = this->OrderByService.find(Service);
  if (Found == this->OrderByService.end())
    return nullptr;
  forwarding::AttemptListener *Next = Found->second.takeNext(Now);
  if (Found->second.size() == 0)
    this->OrderByService.erase(Found);
  const auto Waits = this->WaitsByListener.find(Next);
  const auto Ended = Waits->second.find(Service);
  this->recordEnd(Ended->second, Now);
  Waits->second.erase(Ended);
  if (Waits->second.empty())
    this->WaitsByListener.erase(Waits);
  return Next;
}

void ConnectionWaiters::remove(forwarding::AttemptListener &Listener,
                               common::MonotonicTime Now) {
  const auto Waits = this->WaitsByListener.find(&Listener);
  if (Waits == this->WaitsByListener.end())
    return;
  for (const auto &[Service, Ended] : Waits->second) {
    this->recordEnd(Ended, Now);
    const auto Found = this->OrderByService.find(Service);
    Found->second.remove(Listener);
    if (Found->second.size() == 0)
      this->OrderByService.erase(Found);
  }
  this->WaitsByListener.erase(Waits);
}

void ConnectionWaiters::write(std::ostream &Page) const {
  this->WaitCounts.write(Page, "acaciacross_connection_waits_total");
  this->WaitSeconds.write(Page, "acaciacross_connection_wait_seconds_total");
}

void ConnectionWaiters::recordEnd(const Wait &Ended,
                                  common::MonotonicTime Now) {
  const std::chrono::duration<double> Waited = Now - Ended.Since;
  this->WaitCounts.add(Ended.Priority);
  this->WaitSeconds.add(Ended.Priority, Waited.count());
}

} // namespace acaciacross::gateway
