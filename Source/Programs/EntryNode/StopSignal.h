#ifndef ACACIACROSS_PROGRAMS_ENTRYNODE_STOPSIGNAL_H
#define ACACIACROSS_PROGRAMS_ENTRYNODE_STOPSIGNAL_H

#include <csignal>

namespace acaciacross::entry {

/// Receives SIGTERM and SIGINT on one thread. Made before any other thread is
/// started, as threads inherit which signals are blocked.
class StopSignal {
public:
  StopSignal();

  /// Blocks until a signal comes; gives its number.
  int wait();

private:
  sigset_t Signals;
};

} // namespace acaciacross::entry

#endif
