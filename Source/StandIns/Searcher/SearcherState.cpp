#include "StandIns/Searcher/SearcherState.h"

#include "StandIns/Searcher/FaultSwitches.h"

#include <algorithm>
#include <charconv>

namespace acaciacross::standins {

SearcherState::SearcherState(const SearcherSettings &Settings,
                             ExecutionRecord &Record)
    : Settings(Settings), Record(Record), Connections(Settings.MaxConnections),
      Slots(Settings.Slots, Settings.QueueLength),
      Pages(Settings.HealthLag, Settings.LoadLag),
      WarmAt(std::chrono::steady_clock::now() + Settings.ColdStart),
      Times(Settings.Times.make()) {
  for (const HeldSnapshot &Snapshot : Settings.Snapshots)
    this->Held[Snapshot.Id] = Snapshot;
  this->refreshPages();
}

const SearcherSettings &SearcherState::settings() const {
  return this->Settings;
}
ConnectionCap &SearcherState::connections() { return this->Connections; }
SlotPool &SearcherState::slots() { return this->Slots; }
SearcherPages &SearcherState::pages() { return this->Pages; }
ExecutionRecord &SearcherState::record() { return this->Record; }

Faults SearcherState::faults() const {
  const std::scoped_lock Lock(this->Mutex);
  return this->ActiveFaults;
}

bool SearcherState::setFault(const std::string &Name,
                             const std::string &Value) {
  if (this->setPageFault(Name, Value))
    return true;
  bool Known = true;
  {
    const std::scoped_lock Lock(this->Mutex);
    if (Name == "drop_snapshot")
      this->Held.erase(Value);
    else if (Name == "add_snapshot")
      this->addSnapshot(Value);
    else
      Known = FaultSwitches(this->ActiveFaults).set(Name, Value);
  }
  this->refreshPages();
  return Known;
}

bool SearcherState::setPageFault(const std::string &Name,
                                 const std::string &Value) {
  if (Name == "freeze_health") {
    this->Pages.freezeHealth(std::chrono::steady_clock::now(), Value == "1");
    return true;
  }
  std::uint32_t Number = 0;
  std::from_chars(Value.data(), Value.data() + Value.size(), Number);
  const std::chrono::milliseconds Lag(Number);
  if (Name == "health_lag_ms")
    this->Pages.setHealthLag(Lag);
  else if (Name == "load_lag_ms")
    this->Pages.setLoadLag(Lag);
  else
    return false;
  return true;
}

SearcherState::Holding SearcherState::holds(const std::string &Snapshot,
                                            std::uint32_t Shard) const {
  const std::scoped_lock Lock(this->Mutex);
  const auto Found = this->Held.find(Snapshot);
  if (Found == this->Held.end())
    return Holding::NoSnapshot;
  return Found->second.Shards.contains(Shard) ? Holding::Held
                                              : Holding::NoShard;
}

common::KeyRange SearcherState::rangeOf(const std::string &Snapshot,
                                        std::uint32_t Shard) const {
  const std::scoped_lock Lock(this->Mutex);
  const auto Found = this->Held.find(Snapshot);
  if (Found == this->Held.end() || !Found->second.Shards.contains(Shard))
    return {};
  return Found->second.Shards.at(Shard);
}

std::chrono::microseconds SearcherState::nextServiceTime() {
  const bool Cold = this->isCold();
  const std::scoped_lock Lock(this->Mutex);
  const double Factor =
      this->ActiveFaults.SlowFactor * (Cold ? this->Settings.ColdFactor : 1.0);
  return std::chrono::duration_cast<std::chrono::microseconds>(
      this->Times->next() * Factor);
}

void SearcherState::refreshPages() {
  const common::MonotonicTime Now = std::chrono::steady_clock::now();
  this->Pages.setLoad(
      Now, {this->Slots.busy(), this->Slots.queued(), this->Slots.slots()});
  this->Pages.setHealth(Now, this->healthNow());
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
  const auto Earlier =
      std::ranges::find(this->Settings.Snapshots, Id, &HeldSnapshot::Id);
  if (Earlier != this->Settings.Snapshots.end()) {
    this->Held[Id] = *Earlier;
  } else if (!this->Settings.Snapshots.empty()) {
    this->Held[Id] = this->Settings.Snapshots.front();
    this->Held[Id].Id = Id;
  }
}

bool SearcherState::isCold() const {
  return std::chrono::steady_clock::now() < this->WarmAt;
}

HealthPage SearcherState::healthNow() const {
  const std::scoped_lock Lock(this->Mutex);
  HealthPage Page;
  const bool Leaving = this->ActiveFaults.Drain || this->ActiveFaults.DrainShed;
  Page.Status = Leaving ? "leaving" : "serving";
  Page.Cold = this->isCold();
  for (const auto &[Id, Snapshot] : this->Held)
    Page.Snapshots.push_back(Id);
  return Page;
}

} // namespace acaciacross::standins
