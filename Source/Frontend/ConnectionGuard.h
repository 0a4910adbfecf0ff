#ifndef ACACIACROSS_FRONTEND_CONNECTIONGUARD_H
#define ACACIACROSS_FRONTEND_CONNECTIONGUARD_H

#include "Common/Time.h"

#include <condition_variable>
#include <mutex>
#include <set>
#include <thread>
#include <unordered_map>
#include <utility>

namespace acaciacross::frontend {

/// Shuts down connections that have passed their time limit. libmicrohttpd
/// limits idle time only, which a caller that sends a byte now and then never
/// reaches. All functions are thread-safe.
class ConnectionGuard {
public:
  ConnectionGuard();
  ~ConnectionGuard();

  ConnectionGuard(const ConnectionGuard &) = delete;
  ConnectionGuard &operator=(const ConnectionGuard &) = delete;

  /// Sets the limit of an open socket.
  void limit(int Socket, common::MonotonicTime At);
  /// Lifts it: the request runs, or the socket is about to be closed.
  void release(int Socket);

private:
  void run();

  std::mutex Mutex;
  std::condition_variable Changed;
  std::unordered_map<int, common::MonotonicTime> Limits;
  std::set<std::pair<common::MonotonicTime, int>> Order;
  bool IsStopping = false;
  std::thread Thread;
};

} // namespace acaciacross::frontend

#endif
