#ifndef ACACIACROSS_STANDINS_SEARCHER_SEARCHERSTATE_H
#define ACACIACROSS_STANDINS_SEARCHER_SEARCHERSTATE_H

#include "StandIns/Searcher/ConnectionCap.h"
#include "StandIns/Searcher/ExecutionRecord.h"
#include "StandIns/Searcher/Faults.h"
#include "StandIns/Searcher/SearcherCounters.h"
#include "StandIns/Searcher/SearcherPages.h"
#include "StandIns/Searcher/SearcherSettings.h"
#include "StandIns/Searcher/SlotPool.h"

#include <map>
#include <memory>
#include <optional>

namespace acaciacross::standins {

/// One searcher as its connections share it. Every member function is safe to
/// call from several threads.
class SearcherState {
public:
  enum class Holding { Held, NoSnapshot, NoShard };

  SearcherState(const SearcherSettings &Settings, ExecutionRecord &Record);

  const SearcherSettings &settings() const;
  ConnectionCap &connections();
  SlotPool &slots();
  SearcherPages &pages();
  ExecutionRecord &record();

  Faults faults() const;
  /// One fault of the README's table; false when it is unknown or malformed.
  bool setFault(const std::string &Name, const std::string &Value);

  Holding holds(const std::string &Snapshot, std::uint32_t Shard) const;
  /// Of a shard that is held.
  common::KeyRange rangeOf(const std::string &Snapshot,
                           std::uint32_t Shard) const;

  std::chrono::microseconds nextServiceTime();
  void refreshPages();

  SearcherCounters counters() const;
  void count(std::uint64_t SearcherCounters::*Counter);

private:
  bool setPageFault(const std::string &Name, const std::string &Value);
  void addSnapshot(const std::string &Id);
  bool isCold() const;
  HealthPage healthNow() const;

  SearcherSettings Settings;
  ExecutionRecord &Record;
  ConnectionCap Connections;
  SlotPool Slots;
  SearcherPages Pages;

  mutable std::mutex Mutex;
  common::MonotonicTime WarmAt;
  std::unique_ptr<ServiceTime> Times;
  Faults ActiveFaults;
  SearcherCounters Counters;
  /// Dropped snapshots stay in Settings so that they can be added again.
  std::map<std::string, HeldSnapshot> Held;
};

} // namespace acaciacross::standins

#endif
