#ifndef ACACIACROSS_FRONTEND_PENDINGCALL_H
#define ACACIACROSS_FRONTEND_PENDINGCALL_H

#include "Frontend/ResponseSink.h"

#include <functional>
#include <mutex>
#include <optional>

struct MHD_Connection;

namespace acaciacross::frontend {

/// Suspends a connection while its request runs on other threads.
class PendingCall final : public ResponseSink {
public:
  explicit PendingCall(MHD_Connection *Handle);

  /// Stores the response and resumes the connection. Callable on any thread.
  void respond(std::function<HttpResponse()> Encoder) override;

  /// Suspends the connection and returns true, unless the response is ready.
  /// Call on the connection's thread only.
  bool suspendUnlessReady();

  /// Encodes and returns the response on the first call after respond; empty
  /// otherwise. Call on the connection's thread only.
  std::optional<HttpResponse> take();

private:
  MHD_Connection *Connection;
  std::mutex Mutex;
  std::function<HttpResponse()> ReadyEncoder;
  bool IsSuspended = false;
};

} // namespace acaciacross::frontend

#endif
