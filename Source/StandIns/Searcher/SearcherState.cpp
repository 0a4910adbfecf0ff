#include "StandIns/Searcher/SearcherState.h"

#include "StandIns/Searcher/FaultSwitches.h"

#include <algorithm>
#include <charconv>

namespace acaciacross::standins {

SearcherState::SearcherState(const SearcherSettings &Settings,
                             ExecutionLog &Log)
    : Settings(Settings), Log(Log), Connections(Settings.MaxConnections),
      Slots(Settings.Slots, Settings.QueueLength),
      Pages(Settings.HealthLag, Settings.LoadLag),
      WarmAt(std::chrono::steady_clock::now() + Settings.ColdStart),
      ServiceTimes(Settings.ServiceTimes.make()) {
  for (const LoadedSnapshot &Snapshot : Settings.Snapshots)
    this->Loaded[Snapshot.Id] = Snapshot;
  this->refreshPages();
}

const SearcherSettings &SearcherState::settings() const {
  return this->Settings;
}
ConnectionCap &SearcherState::connections() { return this->Connections; }
SlotPool &SearcherState::slots() { return this->Slots; }
SearcherPages &SearcherState::pages() { return this->Pages; }
ExecutionLog &SearcherState::executionLog() { return this->Log; }

Faults SearcherState::faults() const {
  const std::scoped_lock Lock(this->Mutex);
  return this->ActiveFaults;
}

bool SearcherState::setFault(const std::string &Name,
                             const std::string &Value) {
  if (this->setPageFault(Name, Value))
    return true;
  bool IsKnown = true;
  {
    const std::scoped_lock Lock(this->Mutex);
    if (Name == "drop_snapshot")
      this->Loaded.erase(Value);
    else if (Name == "add_snapshot")
      this->addSnapshot(Value);
    else
      IsKnown = FaultSwitches(this->ActiveFaults).set(Name, Value);
  }
  this->refreshPages();
  return IsKnown;
}

bool SearcherState::setPageFault(const std::string &Name,
                                 const std::string &Value) {
  if (Name == "freeze_health") {
    this->Pages.freezeHealth(std::chrono::steady_clock::now(), Value == "1");
    return true;
  }
  std::uint32_t Milliseconds = 0;
  std::from_chars(Value.data(), Value.data() + Value.size(), Milliseconds);
  const std::chrono::milliseconds Lag(Milliseconds);
  if (Name == "health_lag_ms")
    this->Pages.setHealthLag(Lag);
  else if (Name == "load_lag_ms")
    this->Pages.setLoadLag(Lag);
  else
    return false;
  return true;
}

SearcherState::Availability
SearcherState::availability(const std::string &Snapshot,
                            std::uint32_t Shard) const {
  const std::scoped_lock Lock(this->Mutex);
  const auto Found = this->Loaded.find(Snapshot);
  if (Found == this->Loaded.end())
    return Availability::NoSnapshot;
  return Found->second.Shards.contains(Shard) ? Availability::Loaded
                                              : Availability::NoShard;
}

common::KeyRange SearcherState::keyRangeOf(const std::string &Snapshot,
                                           std::uint32_t Shard) const {
  const std::scoped_lock Lock(this->Mutex);
  const auto Found = this->Loaded.find(Snapshot);
  if (Found == this->Loaded.end() || !Found->second.Shards.contains(Shard))
    return {};
  return Found->second.Shards.at(Shard);
}

std::chrono::microseconds SearcherState::nextServiceTime() {
  const bool IsCold = this->isCold();
  const std::scoped_lock Lock(this->Mutex);
  const double Factor = this->ActiveFaults.SlowFactor *
                        (IsCold ? this->Settings.ColdFactor : 1.0);
  return std::chrono::duration_cast<std::chrono::microseconds>(
      this->ServiceTimes->next() * Factor);
}

void SearcherState::refreshPages() {
  const common::MonotonicTime Now = std::chrono::steady_clock::now();
  this->Pages.setLoad(
      Now, {this->Slots.busy(), this->Slots.queued(), this->Slots.slots()});
  this->Pages.setHealth(Now, this->currentHealth());
}

SearcherCounters SearcherState::counters() const {
  const std::scoped_lock Lock(this->Mutex);
  SearcherCounters Values = this->Counters;
  Values.Searcher = this->Settings.Id;
  Values.ConnectionsOpen = this->Connections.open();
  Values.ConnectionsPeak = this->Connections.peak();
  Values.ConnectionsAccepted = this->Connections.accepted();
  Values.ConnectionsRefused = this->Connections.refused();
  return Values;
}

void SearcherState::count(std::uint64_t SearcherCounters::*Counter) {
  const std::scoped_lock Lock(this->Mutex);
  ++(this->Counters.*Counter);
}

void SearcherState::addSnapshot(const std::string &Id) {
  const auto Configured =
      std::ranges::find(this->Settings.Snapshots, Id, &LoadedSnapshot::Id);
  if (Configured != this->Settings.Snapshots.end()) {
    this->Loaded[Id] = *Configured;
  } else if (!this->Settings.Snapshots.empty()) {
    this->Loaded[Id] = this->Settings.Snapshots.front();
    this->Loaded[Id].Id = Id;
  }
}

bool SearcherState::isCold() const {
  return std::chrono::steady_clock::now() < this->WarmAt;
}

HealthPage SearcherState::currentHealth() const {
  const std::scoped_lock Lock(this->Mutex);
  HealthPage Page;
  const bool IsLeaving =
      this->ActiveFaults.IsDraining || this->ActiveFaults.IsDrainingAndShedding;
  Page.Status = IsLeaving ? "leaving" : "serving";
  Page.IsCold = this->isCold();
  for (const auto &[Id, Snapshot] : this->Loaded)
    Page.Snapshots.push_back(Id);
  return Page;
}

} // namespace acaciacross::standins
