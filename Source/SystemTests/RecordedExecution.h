#ifndef ACACIACROSS_SYSTEMTESTS_RECORDEDEXECUTION_H
#define ACACIACROSS_SYSTEMTESTS_RECORDEDEXECUTION_H

#include <chrono>
#include <cstdint>
#include <string>

namespace acaciacross::systemtests {

/// One execution recorded by the stand-in for a searcher.
struct RecordedExecution {
  std::string Searcher;
  std::string RequestId;
  std::uint32_t Shard = 0;
  std::chrono::system_clock::time_point Started;
  bool Finished = false;
  bool Cancelled = false;
};

} // namespace acaciacross::systemtests

#endif
