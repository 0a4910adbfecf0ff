#ifndef ACACIACROSS_PROGRAMS_PLATFORMNODE_SIGNALS_H
#define ACACIACROSS_PROGRAMS_PLATFORMNODE_SIGNALS_H

#include "Net/Descriptor.h"

#include <chrono>

namespace acaciacross::nodeprogram {

/// Receives the signals of this process and wake-ups by other threads on the
/// main thread. Must be constructed before any other thread is started, because
/// new threads inherit the signal mask.
class Signals {
public:
  /// Throws common::Error (SocketFailed).
  Signals();

  /// Returns the next signal, or 0 after the timeout or a wake-up.
  int wait(std::chrono::milliseconds Timeout);
  /// Ends a wait. Thread-safe.
  void wake() const;

private:
  net::Descriptor SignalSource;
  net::Descriptor WakeEvent;
};

} // namespace acaciacross::nodeprogram

#endif
