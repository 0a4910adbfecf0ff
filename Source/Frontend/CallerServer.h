#ifndef ACACIACROSS_FRONTEND_CALLERSERVER_H
#define ACACIACROSS_FRONTEND_CALLERSERVER_H

#include "Common/Clock.h"
#include "Frontend/CallDispatcher.h"
#include "Frontend/CallerAcceptor.h"
#include "Frontend/CallerConnection.h"
#include "Frontend/CallerServerSettings.h"
#include "Frontend/ConnectionGuard.h"

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <vector>

struct MHD_Connection;
struct MHD_Daemon;

namespace acaciacross::frontend {

/// HTTP server for callers and operators, on threads of libmicrohttpd.
class CallerServer {
public:
  /// Opens the port. Throws common::Error (SocketFailed). The references must
  /// outlive the server.
  CallerServer(CallerServerSettings Chosen, CallDispatcher &Calls,
               const common::Clock &Time);
  ~CallerServer();

  CallerServer(const CallerServer &) = delete;
  CallerServer &operator=(const CallerServer &) = delete;

  common::Address endpoint() const;

  /// From now on each response closes its connection, so that callers leave
  /// without losing a request.
  void beginLeaving();

  /// Closes the listening port; open connections go on.
  void closePort();

  /// Closes connections when no request runs on them, and waits for that; false
  /// when Limit passes before. Requests that have arrived are served. To be
  /// called after beginLeaving and closePort.
  bool closeConnections(std::chrono::milliseconds Limit);

  /// Waits until no request runs and no response is being sent; false when
  /// Limit passes before.
  bool waitUntilIdle(std::chrono::milliseconds Limit);

  /// Closes all connections. Every call must have been responded to.
  void stop();

private:
  friend struct CallerServerCallbacks;

  void startDaemon();
  int onRequest(MHD_Connection *Connection, const char *Url, const char *Method,
                const char *Body, std::size_t &Length, void *&State);
  CallerConnection *begin(MHD_Connection *Connection, const char *Url,
                          const char *Method);
  int addToBody(MHD_Connection *Connection, CallerConnection &Each,
                const char *Body, std::size_t Length);
  void keepBody(CallerConnection &Each, const char *Body, std::size_t Length);
  void refuseTooLarge(MHD_Connection *Connection, const CallerRequest &Request);
  int dispatch(MHD_Connection *Connection, CallerConnection &Each);
  int send(MHD_Connection *Connection, const HttpResponse &Response);
  void onCompleted(MHD_Connection *Connection, CallerConnection *Each);
  void onOpened(MHD_Connection *Connection);
  void onClosed(MHD_Connection *Connection);
  void limit(MHD_Connection *Connection, std::chrono::milliseconds Time,
             ConnectionPhase Phase);
  void releaseBody(CallerConnection &Each);

  CallerServerSettings Settings;
  CallDispatcher &Dispatcher;
  const common::Clock &Ticker;
  ConnectionGuard Guard;
  std::atomic<std::size_t> BufferedBytes{0};
  std::atomic<bool> IsLeaving{false};

  std::mutex Mutex;
  std::condition_variable Idle;
  /// Requests whose response is not sent. Guarded by Mutex.
  std::size_t Open = 0;
  /// Guarded by Mutex.
  std::size_t Connections = 0;

  std::vector<MHD_Daemon *> Daemons;
  /// Used by the acceptor only.
  std::size_t Accepted = 0;
  std::optional<CallerAcceptor> Acceptor;
};

} // namespace acaciacross::frontend

#endif
