#ifndef ACACIACROSS_FRONTEND_CALLERACCEPTOR_H
#define ACACIACROSS_FRONTEND_CALLERACCEPTOR_H

#include "Common/Address.h"

#include <functional>
#include <thread>

struct sockaddr_in;

namespace acaciacross::frontend {

/// Accepts connections of callers on a thread of its own, which blocks in poll.
class CallerAcceptor {
public:
  /// Receives the socket of a new connection, which it then owns, and the
  /// caller's address.
  using Handler = std::function<void(int, const sockaddr_in &)>;

  /// Starts to listen on the address. Throws common::Error (SocketFailed).
  CallerAcceptor(const common::Address &ListenAddress, Handler OnAccepted);
  ~CallerAcceptor();

  CallerAcceptor(const CallerAcceptor &) = delete;
  CallerAcceptor &operator=(const CallerAcceptor &) = delete;

  /// The address listened on, with the port that was chosen for port 0. Valid
  /// until close.
  common::Address endpoint() const;

  /// Closes the port. The handler is not called after this returns.
  void close();

private:
  void run();
  bool acceptConnection();

  common::Address LocalAddress;
  Handler OnAccepted;
  int ListenSocket = -1;
  /// Event descriptor that becomes readable when the thread has to end.
  int StopEvent = -1;
  std::thread Thread;
};

} // namespace acaciacross::frontend

#endif
