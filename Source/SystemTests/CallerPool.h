#ifndef ACACIACROSS_SYSTEMTESTS_CALLERPOOL_H
#define ACACIACROSS_SYSTEMTESTS_CALLERPOOL_H

#include "SystemTests/CallerCounts.h"

#include <atomic>
#include <chrono>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace acaciacross::systemtests {

/// Callers on threads of their own. Each requests addresses, refreshes them
/// while they are valid, and sends one query after another to a random address.
class CallerPool {
public:
  /// Each caller waits for Pause between its queries.
  CallerPool(std::size_t Callers, std::chrono::milliseconds Pause,
             const std::set<std::string> &FirstAddresses);
  ~CallerPool();

  CallerPool(const CallerPool &) = delete;
  CallerPool &operator=(const CallerPool &) = delete;

  /// Stops the callers after their current queries and returns their counts.
  CallerCounts stop();

  CallerCounts counts() const;

private:
  void run(std::size_t CallerIndex, std::set<std::string> Addresses);

  std::chrono::milliseconds Pause;
  std::atomic<bool> Stopping{false};
  mutable std::mutex Mutex;
  CallerCounts Counts;
  std::vector<std::thread> Threads;
};

} // namespace acaciacross::systemtests

#endif
