#ifndef ACACIACROSS_STANDINS_SEARCHER_EXECUTION_H
#define ACACIACROSS_STANDINS_SEARCHER_EXECUTION_H

#include "Common/Time.h"

#include <cstdint>
#include <string>

namespace acaciacross::standins {

/// One search that was given a slot.
struct Execution {
  std::string Searcher;
  std::string RequestId;
  std::string AttemptId;
  std::string ClassName;
  std::string Snapshot;
  std::uint32_t Shard = 0;
  common::WallTime StartedAt;
  /// The epoch while the search is running.
  common::WallTime FinishedAt;
  bool IsCancelled = false;
};

} // namespace acaciacross::standins

#endif
