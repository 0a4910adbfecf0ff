#ifndef ACACIACROSS_STANDINS_SEARCHER_CONNECTIONWAIT_H
#define ACACIACROSS_STANDINS_SEARCHER_CONNECTIONWAIT_H

#include "Common/Time.h"

namespace acaciacross::standins {

/// Waits on behalf of a caller. The wait ends early when the caller closes its
/// connection.
class ConnectionWait {
public:
  enum class Result { TimedOut, EventSet, ConnectionClosed };

  explicit ConnectionWait(int Socket) : Socket(Socket) {}

  /// Event is a file descriptor, or -1 for none.
  /// The wait ends early when Event becomes readable.
  Result until(common::MonotonicTime When, int Event = -1) const;

private:
  int Socket;
};

} // namespace acaciacross::standins

#endif
