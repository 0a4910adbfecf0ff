#ifndef ACACIACROSS_STANDINS_SEARCHER_EXECUTIONLOG_H
#define ACACIACROSS_STANDINS_SEARCHER_EXECUTIONLOG_H

#include "StandIns/Searcher/Execution.h"

#include <cstdint>
#include <deque>
#include <mutex>
#include <vector>

namespace acaciacross::standins {

/// The most recent executions of a process, at most Capacity. Safe to use from
/// several threads.
class ExecutionLog {
public:
  explicit ExecutionLog(std::size_t Capacity);

  /// Returns the number of the execution for recordEnd().
  std::uint64_t recordStart(Execution Entry);
  void recordEnd(std::uint64_t Number, common::WallTime When, bool IsCancelled);

  /// Executions of a searcher and a request; an empty argument matches all.
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
