#ifndef ACACIACROSS_STANDINS_SEARCHER_FAULTS_H
#define ACACIACROSS_STANDINS_SEARCHER_FAULTS_H

#include <cstdint>

namespace acaciacross::standins {

/// Faults that tests set on a searcher. Source/StandIns/README.md describes
/// them.
struct Faults {
  double SlowFactor = 1.0;
  bool ShedsSearches = false;
  bool ResetsConnections = false;
  bool HangsSearches = false;
  bool IsDraining = false;
  bool IsDrainingAndShedding = false;
  bool RepliesWrongSnapshot = false;
  bool RepliesWrongRange = false;
  bool RepliesWrongAttempt = false;
  /// Values that the load page shows in place of the true ones; -1: the true
  /// value.
  std::int64_t ReportedBusy = -1;
  std::int64_t ReportedQueued = -1;
};

} // namespace acaciacross::standins

#endif
