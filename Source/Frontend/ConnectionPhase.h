#ifndef ACACIACROSS_FRONTEND_CONNECTIONPHASE_H
#define ACACIACROSS_FRONTEND_CONNECTIONPHASE_H

namespace acaciacross::frontend {

/// What a connection with a deadline waits for.
enum class ConnectionPhase {
  /// The headers of its first request.
  Opened,
  /// The headers of the next request.
  Idle,
  /// The rest of a request.
  Reading,
  /// The caller to receive the response.
  Writing,
};

} // namespace acaciacross::frontend

#endif
