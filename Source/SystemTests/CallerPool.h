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

/// Callers that ask for addresses, use the answer while it is valid and send
/// one query after another to a random one of them.
class CallerPool {
public:
  /// Each caller pauses between its queries.
  CallerPool(std::size_t Callers, std::chrono::milliseconds Pause,
             const std::set<std::string> &FirstAddresses);
  ~CallerPool();

  CallerPool(const CallerPool &) = delete;
  CallerPool &operator=(const CallerPool &) = delete;

  /// Ends the callers after their running queries.
  CallerTally stop();

  CallerTally tally() const;

private:
  void run(std::size_t Number, std::set<std::string> Addresses);

  std::chrono::milliseconds Pause;
  std::atomic<bool> Stopping{false};
  mutable std::mutex Mutex;
  CallerTally Tally;
  std::vector<std::thread> Threads;
};

} // namespace acaciacross::systemtests

#endif
