#ifndef ACACIACROSS_STANDINS_SEARCHER_SEARCHERSETTINGS_H
#define ACACIACROSS_STANDINS_SEARCHER_SEARCHERSETTINGS_H

#include "Common/Address.h"
#include "StandIns/Searcher/LoadedSnapshot.h"
#include "StandIns/Searcher/ServiceTimeSettings.h"

#include <vector>

namespace acaciacross::standins {

/// Settings of one searcher of a process.
struct SearcherSettings {
  std::string Id;
  common::Address ListenAddress;
  std::uint32_t Slots = 1;
  std::uint32_t MaxConnections = 1;
  std::chrono::milliseconds ConnectCost{0};
  std::uint32_t QueueLength = 0;
  std::chrono::milliseconds ColdStart{0};
  double ColdFactor = 1.0;
  std::chrono::milliseconds HealthLag{0};
  std::chrono::milliseconds LoadLag{0};
  ServiceTimeSettings ServiceTimes;
  std::vector<LoadedSnapshot> Snapshots;
};

} // namespace acaciacross::standins

#endif
