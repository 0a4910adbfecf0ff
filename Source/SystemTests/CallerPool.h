#ifndef ACACIACROSS_SYSTEMTESTS_CALLERPOOL_H
#define ACACIACROSS_SYSTEMTESTS_CALLERPOOL_H

#include "SystemTests/CallerTally.h"

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

  /// Stops the callers after their current queries and returns the tally.
  CallerTally stop();

  CallerTally tally() const;

private:
  void run(std::size_t CallerIndex, std::set<std::string> Addresses);

  std::chrono::milliseconds Pause;
  std::atomic<bool> Stopping{false};
  mutable std::mutex Mutex;
  CallerTally Tally;
  std::vector<std::thread> Threads;
};

} // namespace acaciacross::systemtests

#endif
