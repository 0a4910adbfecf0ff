#ifndef ACACIACROSS_FRONTEND_CONNECTIONGUARD_H
#define ACACIACROSS_FRONTEND_CONNECTIONGUARD_H

#include "Common/Time.h"
#include "Frontend/ConnectionLimit.h"

#include <condition_variable>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace acaciacross::frontend {

/// Ends connections that have passed their time limit. libmicrohttpd limits
/// idle time only, which a caller that sends a byte now and then never reaches.
/// All functions are thread-safe.
class ConnectionGuard {
public:
  /// TooSlow is sent to callers whose request does not arrive in time.
  explicit ConnectionGuard(std::string TooSlow);
  ~ConnectionGuard();

  ConnectionGuard(const ConnectionGuard &) = delete;
  ConnectionGuard &operator=(const ConnectionGuard &) = delete;

  /// Replaces the limit of an open socket.
  void limit(int Socket, ConnectionLimit Each);
  /// Lifts the limit; false when the caller has been sent a refusal, so that
  /// its request must not run.
  bool release(int Socket);
  /// Sends the bytes of a refusal and closes the connection. Not while a
  /// response is being sent.
  void refuse(int Socket, const std::string &Response);
  /// To be called before the socket is closed.
  void forget(int Socket);

  /// Ends the idle connections, also those that become idle later. Requests
  /// that have arrived on them are still served.
  void closeIdle();

private:
  void run();
  void set(int Socket, ConnectionLimit Each);
  void erase(int Socket);
  void sendRefusal(int Socket, const std::string &Response);

  const std::string TooSlowResponse;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::unordered_map<int, ConnectionLimit> Limits;
  std::set<std::pair<common::MonotonicTime, int>> Order;
  /// Sockets on which a refusal was sent.
  std::unordered_set<int> Refused;
  bool IsClosingIdle = false;
  bool IsStopping = false;
  std::thread Thread;
};

} // namespace acaciacross::frontend

#endif
