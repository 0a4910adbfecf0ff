#include "StandIns/Searcher/SearcherPages.h"

namespace acaciacross::standins {

SearcherPages::SearcherPages(std::chrono::milliseconds HealthLag,
                             std::chrono::milliseconds LoadLag)
    : HealthLag(HealthLag), LoadLag(LoadLag), Health({}), Load({}) {}

void SearcherPages::setHealth(common::MonotonicTime Now, HealthPage Page) {
  const std::scoped_lock Lock(this->Mutex);
  this->Health.set(Now, std::move(Page));
}

void SearcherPages::setLoad(common::MonotonicTime Now, LoadPage Page) {
  const std::scoped_lock Lock(this->Mutex);
  this->Load.set(Now, Page);
}

HealthPage SearcherPages::health(common::MonotonicTime Now) const {
  const std::scoped_lock Lock(this->Mutex);
  return this->FrozenHealth ? *this->FrozenHealth
                            : this->Health.read(Now, this->HealthLag);
}

LoadPage SearcherPages::load(common::MonotonicTime Now) const {
  const std::scoped_lock Lock(this->Mutex);
  return this->Load.read(Now, this->LoadLag);
}

void SearcherPages::setHealthLag(std::chrono::milliseconds Lag) {
  const std::scoped_lock Lock(this->Mutex);
  this->HealthLag = Lag;
}

void SearcherPages::setLoadLag(std::chrono::milliseconds Lag) {
  const std::scoped_lock Lock(this->Mutex);
  this->LoadLag = Lag;
}

void SearcherPages::freezeHealth(common::MonotonicTime Now, bool IsFrozen) {
  const std::scoped_lock Lock(this->Mutex);
  if (IsFrozen)
    this->FrozenHealth = this->Health.read(Now, this->HealthLag);
  else
    this->FrozenHealth.reset();
}

} // namespace acaciacross::standins
