#ifndef ACACIACROSS_FRONTEND_CALLERSERVER_H
#define ACACIACROSS_FRONTEND_CALLERSERVER_H

#include "Common/Clock.h"
#include "Frontend/CallDispatcher.h"
#include "Frontend/CallerAcceptor.h"
#include "Frontend/CallerServerSettings.h"
#include "Frontend/ConnectionTimeouts.h"
#include "Frontend/HttpExchange.h"

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

/// HTTP server for callers and operators, run on threads of libmicrohttpd.
class CallerServer {
public:
  /// Starts to listen. Throws common::Error (SocketFailed). The references must
  /// outlive the server.
  CallerServer(CallerServerSettings Settings, CallDispatcher &Dispatcher,
               const common::Clock &Clock);
  ~CallerServer();

  CallerServer(const CallerServer &) = delete;
  CallerServer &operator=(const CallerServer &) = delete;

  common::Address endpoint() const;

  /// Adds "Connection: close" to all later responses, so that callers move
  /// their connections to other VMs without losing a request.
  void startLeaving();

  /// Closes the listening port. Open connections stay usable.
  void closePort();

  /// Closes each connection as soon as no request runs on it, and waits until
  /// all are closed. Returns false when the timeout expires first. Requests
  /// that have arrived are served. Call startLeaving and closePort before.
  bool closeConnections(std::chrono::milliseconds Timeout);

  /// Waits until no request runs and no response is being sent. Returns false
  /// when the timeout expires first.
  bool waitUntilIdle(std::chrono::milliseconds Timeout);

  /// Closes all connections. Every request must have its response before.
  void stop();

private:
  friend struct CallerServerCallbacks;

  void startDaemon();
  int onRequest(MHD_Connection *Connection, const char *Url, const char *Method,
                const char *Body, std::size_t &Length, void *&State);
  HttpExchange *beginExchange(MHD_Connection *Connection, const char *Url,
                              const char *Method);
  int onBodyData(MHD_Connection *Connection, HttpExchange &Exchange,
                 const char *Body, std::size_t Length);
  void bufferBody(HttpExchange &Exchange, const char *Body, std::size_t Length);
  void refuseTooLargeBody(MHD_Connection *Connection,
                          const CallerRequest &Request);
  int dispatch(MHD_Connection *Connection, HttpExchange &Exchange);
  int queueResponse(MHD_Connection *Connection, const HttpResponse &Response);
  void onCompleted(MHD_Connection *Connection, HttpExchange *Exchange);
  void onOpened(MHD_Connection *Connection);
  void onClosed(MHD_Connection *Connection);
  void limit(MHD_Connection *Connection, std::chrono::milliseconds Timeout,
             ConnectionPhase Phase);
  void releaseBody(HttpExchange &Exchange);

  CallerServerSettings Settings;
  CallDispatcher &Dispatcher;
  const common::Clock &Clock;
  ConnectionTimeouts Timeouts;
  std::atomic<std::size_t> BufferedBytes{0};
  std::atomic<bool> IsLeaving{false};

  std::mutex Mutex;
  std::condition_variable Changed;
  /// Requests whose response has not been sent completely. Guarded by Mutex.
  std::size_t ActiveRequests = 0;
  /// Guarded by Mutex.
  std::size_t OpenConnections = 0;

  std::vector<MHD_Daemon *> Daemons;
  /// Connections accepted so far. Used on the acceptor's thread only.
  std::size_t AcceptedCount = 0;
  std::optional<CallerAcceptor> Acceptor;
};

} // namespace acaciacross::frontend

#endif
