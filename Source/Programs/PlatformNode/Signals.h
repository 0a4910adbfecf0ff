#ifndef ACACIACROSS_PROGRAMS_PLATFORMNODE_SIGNALS_H
#define ACACIACROSS_PROGRAMS_PLATFORMNODE_SIGNALS_H

#include "Net/Descriptor.h"

#include <chrono>

namespace acaciacross::nodeprogram {

/// Receives the signals of this process on the main thread, and a wake-up of
/// other threads. Made before any other thread is started, as threads inherit
/// which signals are blocked.
class Signals {
public:
  /// Throws common::Error (SocketFailed).
  Signals();

  /// The next signal; 0 after Time without one or after wake.
  int wait(std::chrono::milliseconds Time);
  /// Thread-safe.
  void wake() const;

private:
  net::Descriptor Source;
  net::Descriptor Waker;
};

} // namespace acaciacross::nodeprogram

#endif
