#ifndef ACACIACROSS_STANDINS_SEARCHER_EXECUTIONRECORD_H
#define ACACIACROSS_STANDINS_SEARCHER_EXECUTIONRECORD_H

#include "StandIns/Searcher/Execution.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <vector>

namespace acaciacross::standins {

/// The last executions of a process. Safe to use from several threads.
class ExecutionRecord {
public:
  explicit ExecutionRecord(std::size_t Capacity);

  /// Returns the number that finished() takes.
  std::uint64_t started(Execution Entry);
  void finished(std::uint64_t Number, common::WallTime When, bool Cancelled);

  /// Those of one searcher, of one request, or of all where the name is empty.
  std::vector<Execution> find(const std::string &Searcher,
                              const std::string &RequestId) const;

private:
  std::size_t Capacity;
  mutable std::mutex Mutex;
  std::deque<Execution> Entries;
  std::uint64_t FirstNumber = 0;
};

} // namespace acaciacross::standins

#endif
