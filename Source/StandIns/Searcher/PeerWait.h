#ifndef ACACIACROSS_STANDINS_SEARCHER_PEERWAIT_H
#define ACACIACROSS_STANDINS_SEARCHER_PEERWAIT_H

#include "Common/Time.h"

namespace acaciacross::standins {

/// Waits on behalf of a peer, until it closes its connection at the latest.
class PeerWait {
public:
  enum class Result { TimePassed, EventSet, PeerClosed };

  explicit PeerWait(int Socket) : Socket(Socket) {}

  /// Event is a file descriptor, or -1 for none.
  Result until(common::MonotonicTime When, int Event = -1) const;

private:
  int Socket;
};

} // namespace acaciacross::standins

#endif
