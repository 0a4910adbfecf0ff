#ifndef ACACIACROSS_PROGRAMS_ENTRYNODE_STOPSIGNAL_H
#define ACACIACROSS_PROGRAMS_ENTRYNODE_STOPSIGNAL_H

#include <csignal>

namespace acaciacross::entry {

/// Receives SIGTERM and SIGINT on one thread. Must be constructed before any
/// other thread is started, because new threads inherit the signal mask.
class StopSignal {
public:
  StopSignal();

  /// Blocks until a signal arrives and returns its number.
  int wait();

private:
  sigset_t Signals;
};

} // namespace acaciacross::entry

#endif
