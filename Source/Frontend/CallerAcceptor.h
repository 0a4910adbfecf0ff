#ifndef ACACIACROSS_FRONTEND_CALLERACCEPTOR_H
#define ACACIACROSS_FRONTEND_CALLERACCEPTOR_H

#include "Common/Address.h"

#include <functional>
#include <thread>

struct sockaddr_in;

namespace acaciacross::frontend {

/// Listens for callers on a thread of its own, which sleeps in poll.
class CallerAcceptor {
public:
  /// Takes the socket of a new connection and the caller's address.
  using Handler = std::function<void(int, const sockaddr_in &)>;

  /// Opens the port. Throws common::Error (SocketFailed).
  CallerAcceptor(const common::Address &Listen, Handler Accepted);
  ~CallerAcceptor();

  CallerAcceptor(const CallerAcceptor &) = delete;
  CallerAcceptor &operator=(const CallerAcceptor &) = delete;

  /// Valid until close.
  common::Address endpoint() const;

  /// Closes the port; the handler is not called any more.
  void close();

private:
  void run();
  bool acceptOne();

  common::Address Local;
  Handler OnAccepted;
  int Listener = -1;
  /// Becomes readable when the thread has to end.
  int StopEvent = -1;
  std::thread Thread;
};

} // namespace acaciacross::frontend

#endif
