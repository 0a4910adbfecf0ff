#ifndef ACACIACROSS_FRONTEND_CONNECTIONTIMEOUTS_H
#define ACACIACROSS_FRONTEND_CONNECTIONTIMEOUTS_H

#include "Common/Time.h"
#include "Frontend/ConnectionDeadline.h"

#include <condition_variable>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace acaciacross::frontend {

/// Closes connections whose deadline has passed. The timeout of libmicrohttpd
/// covers idle time only, so a caller that keeps sending single bytes never
/// reaches it. All functions are thread-safe.
class ConnectionTimeouts {
public:
  /// TooSlowResponse is the raw response for callers whose request does not
  /// arrive in time.
  explicit ConnectionTimeouts(std::string TooSlowResponse);
  ~ConnectionTimeouts();

  ConnectionTimeouts(const ConnectionTimeouts &) = delete;
  ConnectionTimeouts &operator=(const ConnectionTimeouts &) = delete;

  /// Replaces the deadline of an open socket.
  void limit(int Socket, ConnectionDeadline Deadline);
  /// Removes the deadline. Returns false when a refusal has been sent to the
  /// caller; its request must not run then.
  bool cancel(int Socket);
  /// Sends the raw refusal and closes the connection. Must not be called while
  /// a response is being sent.
  void refuse(int Socket, const std::string &Response);
  /// Discards all state of a socket.
  /// To be called before the socket is closed.
  void remove(int Socket);

  /// Closes idle connections, also those that become idle later. Requests
  /// that have arrived on them are still served.
  void closeIdle();

private:
  void run();
  void set(int Socket, ConnectionDeadline Deadline);
  void erase(int Socket);
  void sendRefusal(int Socket, const std::string &Response);

  const std::string TooSlowResponse;
  std::mutex Mutex;
  std::condition_variable Changed;
  std::unordered_map<int, ConnectionDeadline> Deadlines;
  std::set<std::pair<common::MonotonicTime, int>> SocketsByTime;
  /// Sockets on which a refusal was sent.
  std::unordered_set<int> RefusedSockets;
  bool IsClosingIdle = false;
  bool IsStopping = false;
  std::thread Thread;
};

} // namespace acaciacross::frontend

#endif
