#ifndef ACACIACROSS_FRONTEND_PENDINGCALL_H
#define ACACIACROSS_FRONTEND_PENDINGCALL_H

#include "Frontend/ResponseSink.h"

#include <functional>
#include <mutex>
#include <optional>

struct MHD_Connection;

namespace acaciacross::frontend {

/// Holds a connection while its call runs on other threads.
class PendingCall final : public ResponseSink {
public:
  explicit PendingCall(MHD_Connection *Held);

  /// Any thread; wakes the connection.
  void respond(std::function<HttpResponse()> Make) override;

  /// Suspends the connection and gives true, unless the response is there. On
  /// the connection's thread.
  bool suspendUnlessReady();

  /// The response, once. On the connection's thread.
  std::optional<HttpResponse> take();

private:
  MHD_Connection *Connection;
  std::mutex Mutex;
  std::function<HttpResponse()> Ready;
  bool IsSuspended = false;
};

} // namespace acaciacross::frontend

#endif
