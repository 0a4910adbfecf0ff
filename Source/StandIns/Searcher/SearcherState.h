#ifndef ACACIACROSS_STANDINS_SEARCHER_SEARCHERSTATE_H
#define ACACIACROSS_STANDINS_SEARCHER_SEARCHERSTATE_H

#include "StandIns/Searcher/ConnectionCap.h"
#include "StandIns/Searcher/ExecutionLog.h"
#include "StandIns/Searcher/Faults.h"
#include "StandIns/Searcher/SearcherCounters.h"
#include "StandIns/Searcher/SearcherPages.h"
#include "StandIns/Searcher/SearcherSettings.h"
#include "StandIns/Searcher/SlotPool.h"

#include <map>
#include <memory>
#include <optional>

namespace acaciacross::standins {

/// State of one searcher, which its connections share. Safe to use from several
/// threads.
class SearcherState {
public:
  enum class Availability { Loaded, NoSnapshot, NoShard };

  SearcherState(const SearcherSettings &Settings, ExecutionLog &Log);

  const SearcherSettings &settings() const;
  ConnectionCap &connections();
  SlotPool &slots();
  SearcherPages &pages();
  ExecutionLog &executionLog();

  Faults faults() const;
  /// Sets a fault by its name; Source/StandIns/README.md lists them. False when
  /// the name is unknown or the value is malformed.
  bool setFault(const std::string &Name, const std::string &Value);

  Availability availability(const std::string &Snapshot,
                            std::uint32_t Shard) const;
  /// Key range of a shard that is loaded; an empty range when it is not.
  common::KeyRange keyRangeOf(const std::string &Snapshot,
                              std::uint32_t Shard) const;

  std::chrono::microseconds nextServiceTime();
  /// Updates the health and load pages with the present state.
  void refreshPages();

  SearcherCounters counters() const;
  void count(std::uint64_t SearcherCounters::*Counter);

private:
  bool setPageFault(const std::string &Name, const std::string &Value);
  void addSnapshot(const std::string &Id);
  bool isCold() const;
  HealthPage currentHealth() const;

  SearcherSettings Settings;
  ExecutionLog &Log;
  ConnectionCap Connections;
  SlotPool Slots;
  SearcherPages Pages;

  mutable std::mutex Mutex;
  common::MonotonicTime WarmAt;
  std::unique_ptr<ServiceTime> ServiceTimes;
  Faults ActiveFaults;
  SearcherCounters Counters;
  /// Without dropped snapshots. These stay in Settings, so that they can be
  /// added again.
  std::map<std::string, LoadedSnapshot> Loaded;
};

} // namespace acaciacross::standins

#endif
