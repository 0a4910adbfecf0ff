#include "Frontend/CallerServer.h"

#include "Common/Error.h"
#include "Frontend/JsonCodec.h"
#include "Frontend/RawResponse.h"

#include <microhttpd.h>

#include <netinet/in.h>

#include <string>
#include <utility>

namespace acaciacross::frontend {

namespace {

// A body of up to MaxBodyBytes times this factor is read to its end, because
// most callers read the response only after they have sent the body. A larger
// body is refused before its end.
constexpr std::size_t DiscardFactor = 8;

// Limits the size of the request line and the headers together.
constexpr std::size_t MemoryBytesPerConnection = std::size_t{32} << 10;

std::string encodeRawRefusal(const common::RequestId &Id,
                             common::ResultCode Code) {
  return encodeRawResponse(JsonCodec::encodeRefusal(Id, Code));
}

int socketOf(MHD_Connection *Connection) {
  return ::MHD_get_connection_info(Connection,
                                   MHD_CONNECTION_INFO_CONNECTION_FD)
      ->connect_fd;
}

} // namespace

/// Callbacks for libmicrohttpd.
struct CallerServerCallbacks {
  static MHD_Result request(void *Server, MHD_Connection *Connection,
                            const char *Url, const char *Method, const char *,
                            const char *Body, std::size_t *Length,
                            void **State) {
    const int Result = static_cast<CallerServer *>(Server)->onRequest(
        Connection, Url, Method, Body, *Length, *State);
    return Result == 0 ? MHD_NO : MHD_YES;
  }

  static void completed(void *Server, MHD_Connection *Connection, void **State,
                        MHD_RequestTerminationCode) {
    static_cast<CallerServer *>(Server)->onCompleted(
        Connection, static_cast<HttpExchange *>(*State));
    *State = nullptr;
  }

  static void connection(void *Server, MHD_Connection *Connection, void **,
                         MHD_ConnectionNotificationCode Code) {
    auto &Target = *static_cast<CallerServer *>(Server);
    if (Code == MHD_CONNECTION_NOTIFY_STARTED)
      Target.onOpened(Connection);
    else
      Target.onClosed(Connection);
  }
};

CallerServer::CallerServer(CallerServerSettings Settings,
                           CallDispatcher &Dispatcher,
                           const common::Clock &Clock)
    : Settings(std::move(Settings)), Dispatcher(Dispatcher), Clock(Clock),
      Timeouts(encodeRawRefusal({}, common::ResultCode::RequestTooSlow)) {
  for (unsigned I = 0; I < this->Settings.ThreadCount; ++I)
    this->startDaemon();
  this->Acceptor.emplace(
      this->Settings.ListenAddress,
      [this](int Socket, const sockaddr_in &Caller) {
        MHD_Daemon *Daemon =
            this->Daemons[this->AcceptedCount++ % this->Daemons.size()];
        // libmicrohttpd closes the socket when it refuses the connection.
        ::MHD_add_connection(Daemon, Socket,
                             reinterpret_cast<const sockaddr *>(&Caller),
                             sizeof(Caller));
      });
}

// Each daemon has one thread and no listening socket. With a listening socket,
// MHD_quiesce_daemon of libmicrohttpd 0.9.75 can abort the process ("Failed to
// remove listen FD from epoll set") when an event arrives at the same time.
void CallerServer::startDaemon() {
  const unsigned DaemonCount = this->Settings.ThreadCount;
  MHD_Daemon *Daemon = ::MHD_start_daemon(
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME |
          MHD_USE_NO_LISTEN_SOCKET,
      0, nullptr, nullptr, &CallerServerCallbacks::request, this,
      MHD_OPTION_CONNECTION_LIMIT, this->Settings.MaxConnections / DaemonCount,
      MHD_OPTION_PER_IP_CONNECTION_LIMIT,
      this->Settings.MaxConnectionsPerCaller / DaemonCount,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, MemoryBytesPerConnection,
      MHD_OPTION_NOTIFY_COMPLETED, &CallerServerCallbacks::completed, this,
      MHD_OPTION_NOTIFY_CONNECTION, &CallerServerCallbacks::connection, this,
      MHD_OPTION_END);
  if (!Daemon) {
    this->stop();
    throw common::Error(common::ResultCode::SocketFailed,
                        "cannot start the HTTP server for callers");
  }
  this->Daemons.push_back(Daemon);
}

CallerServer::~CallerServer() { this->stop(); }

common::Address CallerServer::endpoint() const {
  return this->Acceptor->endpoint();
}

void CallerServer::startLeaving() { this->IsLeaving = true; }

void CallerServer::closePort() { this->Acceptor->close(); }

bool CallerServer::closeConnections(std::chrono::milliseconds Timeout) {
  this->Timeouts.closeIdle();
  std::unique_lock Lock(this->Mutex);
  return this->Changed.wait_for(Lock, Timeout,
                                [this] { return this->OpenConnections == 0; });
}

bool CallerServer::waitUntilIdle(std::chrono::milliseconds Timeout) {
  std::unique_lock Lock(this->Mutex);
  return this->Changed.wait_for(Lock, Timeout,
                                [this] { return this->ActiveRequests == 0; });
}

void CallerServer::stop() {
  if (this->Acceptor)
    this->Acceptor->close();
  for (MHD_Daemon *Daemon : std::exchange(this->Daemons, {}))
    ::MHD_stop_daemon(Daemon);
}

int CallerServer::onRequest(MHD_Connection *Connection, const char *Url,
                            const char *Method, const char *Body,
                            std::size_t &Length, void *&State) {
  if (!State) {
    State = this->beginExchange(Connection, Url, Method);
    return MHD_YES;
  }
  auto &Exchange = *static_cast<HttpExchange *>(State);
  if (Length > 0)
    return this->onBodyData(Connection, Exchange, Body,
                            std::exchange(Length, 0));
  if (!Exchange.Pending)
    return this->dispatch(Connection, Exchange);
  const auto Response = Exchange.Pending->take();
  return Response ? this->queueResponse(Connection, *Response) : MHD_YES;
}

HttpExchange *CallerServer::beginExchange(MHD_Connection *Connection,
                                          const char *Url, const char *Method) {
  auto *Exchange = new HttpExchange;
  Exchange->Request.Method = Method;
  Exchange->Request.Path = Url;
  Exchange->Request.ReceivedAt = this->Clock.monotonicNow();
  if (const char *After = ::MHD_lookup_connection_value(
          Connection, MHD_GET_ARGUMENT_KIND, "after"))
    Exchange->Request.After = After;
  this->limit(Connection, this->Settings.ReadTimeout, ConnectionPhase::Reading);
  const std::lock_guard Lock(this->Mutex);
  ++this->ActiveRequests;
  return Exchange;
}

int CallerServer::onBodyData(MHD_Connection *Connection, HttpExchange &Exchange,
                             const char *Body, std::size_t Length) {
  Exchange.BodyBytes += Length;
  this->bufferBody(Exchange, Body, Length);
  if (Exchange.BodyBytes > this->Settings.MaxBodyBytes * DiscardFactor)
    this->refuseTooLargeBody(Connection, Exchange.Request);
  return MHD_YES;
}

void CallerServer::bufferBody(HttpExchange &Exchange, const char *Body,
                              std::size_t Length) {
  CallerRequest &Request = Exchange.Request;
  if (Request.IsTooLarge || Request.IsOverloaded)
    return;
  if (Exchange.BodyBytes > this->Settings.MaxBodyBytes) {
    // Keeps the start of the body, from which the refusal takes the request id.
    Request.IsTooLarge = true;
    Length = this->Settings.MaxBodyBytes - Request.Body.size();
  }
  const std::size_t TotalBytes = this->BufferedBytes.fetch_add(Length) + Length;
  if (TotalBytes > this->Settings.MaxBufferedBytes) {
    this->BufferedBytes -= Length;
    Request.IsOverloaded = true;
    return;
  }
  Request.Body.append(Body, Length);
}

void CallerServer::refuseTooLargeBody(MHD_Connection *Connection,
                                      const CallerRequest &Request) {
  const auto Decoded = JsonCodec::decodeQuery(Request);
  const auto *Error = std::get_if<DecodeError>(&Decoded);
  const auto Id = Error ? Error->Id : common::RequestId();
  this->Timeouts.refuse(
      socketOf(Connection),
      encodeRawRefusal(Id, common::ResultCode::RequestTooLarge));
}

int CallerServer::dispatch(MHD_Connection *Connection, HttpExchange &Exchange) {
  if (!this->Timeouts.cancel(socketOf(Connection)))
    return MHD_NO;
  Exchange.Pending = std::make_shared<PendingCall>(Connection);
  this->Dispatcher.dispatch(Exchange.Request, Exchange.Pending);
  if (Exchange.Pending->suspendUnlessReady())
    return MHD_YES;
  return this->queueResponse(Connection, *Exchange.Pending->take());
}

int CallerServer::queueResponse(MHD_Connection *Connection,
                                const HttpResponse &Response) {
  this->limit(Connection, this->Settings.WriteTimeout,
              ConnectionPhase::Writing);
  MHD_Response *RawResponse = ::MHD_create_response_from_buffer(
      Response.Body.size(), const_cast<char *>(Response.Body.data()),
      MHD_RESPMEM_MUST_COPY);
  if (!RawResponse)
    return MHD_NO;
  ::MHD_add_response_header(RawResponse, MHD_HTTP_HEADER_CONTENT_TYPE,
                            Response.ContentType.c_str());
  if (this->IsLeaving)
    ::MHD_add_response_header(RawResponse, MHD_HTTP_HEADER_CONNECTION, "close");
  const int Result =
      ::MHD_queue_response(Connection, Response.Status, RawResponse);
  ::MHD_destroy_response(RawResponse);
  return Result;
}

void CallerServer::onCompleted(MHD_Connection *Connection,
                               HttpExchange *Exchange) {
  // libmicrohttpd also calls this for requests with malformed headers, which
  // never reached onRequest.
  if (!Exchange)
    return;
  this->limit(Connection, this->Settings.IdleTimeout, ConnectionPhase::Idle);
  this->releaseBody(*Exchange);
  delete Exchange;
  const std::lock_guard Lock(this->Mutex);
  --this->ActiveRequests;
  this->Changed.notify_all();
}

void CallerServer::releaseBody(HttpExchange &Exchange) {
  this->BufferedBytes -= Exchange.Request.Body.size();
  Exchange.Request.Body.clear();
}

void CallerServer::onOpened(MHD_Connection *Connection) {
  this->limit(Connection, this->Settings.ReadTimeout, ConnectionPhase::Opened);
  const std::lock_guard Lock(this->Mutex);
  ++this->OpenConnections;
}

void CallerServer::onClosed(MHD_Connection *Connection) {
  this->Timeouts.remove(socketOf(Connection));
  const std::lock_guard Lock(this->Mutex);
  --this->OpenConnections;
  this->Changed.notify_all();
}

void CallerServer::limit(MHD_Connection *Connection,
                         std::chrono::milliseconds Timeout,
                         ConnectionPhase Phase) {
  this->Timeouts.limit(socketOf(Connection),
                       {this->Clock.monotonicNow() + Timeout, Phase});
}

} // namespace acaciacross::frontend
