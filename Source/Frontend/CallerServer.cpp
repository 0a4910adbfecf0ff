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

// A body somewhat above the limit is read to its end, since most callers read
// the response only then; beyond this the refusal is sent at once.
constexpr std::size_t DiscardFactor = 8;

// Request line and headers must fit into this.
constexpr std::size_t MemoryPerConnection = std::size_t{32} << 10;

std::string makeRefusal(const common::RequestId &Id, common::ResultCode Code) {
  return encodeRawResponse(JsonCodec::encodeRefusal(Id, Code));
}

int socketOf(MHD_Connection *Connection) {
  return ::MHD_get_connection_info(Connection,
                                   MHD_CONNECTION_INFO_CONNECTION_FD)
      ->connect_fd;
}

} // namespace

/// Entry points for libmicrohttpd.
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
        Connection, static_cast<CallerConnection *>(*State));
    *State = nullptr;
  }

  static void connection(void *Server, MHD_Connection *Connection, void **,
                         MHD_ConnectionNotificationCode Code) {
    auto &Each = *static_cast<CallerServer *>(Server);
    if (Code == MHD_CONNECTION_NOTIFY_STARTED)
      Each.onOpened(Connection);
    else
      Each.onClosed(Connection);
  }
};

CallerServer::CallerServer(CallerServerSettings Chosen, CallDispatcher &Calls,
                           const common::Clock &Time)
    : Settings(std::move(Chosen)), Dispatcher(Calls), Ticker(Time),
      Guard(makeRefusal({}, common::ResultCode::RequestTooSlow)) {
  for (unsigned I = 0; I < this->Settings.Threads; ++I)
    this->startDaemon();
  this->Acceptor.emplace(
      this->Settings.Listen, [this](int Socket, const sockaddr_in &Caller) {
        MHD_Daemon *Next =
            this->Daemons[this->Accepted++ % this->Daemons.size()];
        // Closes the socket when it refuses the connection.
        ::MHD_add_connection(Next, Socket,
                             reinterpret_cast<const sockaddr *>(&Caller),
                             sizeof(Caller));
      });
}

// Each daemon has one thread and no listening socket. With a socket of its own,
// libmicrohttpd 0.9.75 can end the process in MHD_quiesce_daemon ("Failed to
// remove listen FD from epoll set"), when an event comes at the same time.
void CallerServer::startDaemon() {
  const unsigned Share = this->Settings.Threads;
  MHD_Daemon *Daemon = ::MHD_start_daemon(
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME |
          MHD_USE_NO_LISTEN_SOCKET,
      0, nullptr, nullptr, &CallerServerCallbacks::request, this,
      MHD_OPTION_CONNECTION_LIMIT, this->Settings.MaxConnections / Share,
      MHD_OPTION_PER_IP_CONNECTION_LIMIT,
      this->Settings.MaxConnectionsPerCaller / Share,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, MemoryPerConnection,
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

void CallerServer::beginLeaving() { this->IsLeaving = true; }

void CallerServer::closePort() { this->Acceptor->close(); }

bool CallerServer::closeConnections(std::chrono::milliseconds Limit) {
  this->Guard.closeIdle();
  std::unique_lock Held(this->Mutex);
  return this->Idle.wait_for(Held, Limit,
                             [this] { return this->Connections == 0; });
}

bool CallerServer::waitUntilIdle(std::chrono::milliseconds Limit) {
  std::unique_lock Held(this->Mutex);
  return this->Idle.wait_for(Held, Limit, [this] { return this->Open == 0; });
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
    State = this->begin(Connection, Url, Method);
    return MHD_YES;
  }
  auto &Each = *static_cast<CallerConnection *>(State);
  if (Length > 0)
    return this->addToBody(Connection, Each, Body, std::exchange(Length, 0));
  if (!Each.Call)
    return this->dispatch(Connection, Each);
  const auto Response = Each.Call->take();
  return Response ? this->send(Connection, *Response) : MHD_YES;
}

CallerConnection *CallerServer::begin(MHD_Connection *Connection,
                                      const char *Url, const char *Method) {
  auto *Each = new CallerConnection;
  Each->Request.Method = Method;
  Each->Request.Path = Url;
  Each->Request.ReceivedAt = this->Ticker.monotonicNow();
  if (const char *After = ::MHD_lookup_connection_value(
          Connection, MHD_GET_ARGUMENT_KIND, "after"))
    Each->Request.After = After;
  this->limit(Connection, this->Settings.ReadTime, ConnectionPhase::Reading);
  const std::lock_guard Held(this->Mutex);
  ++this->Open;
  return Each;
}

int CallerServer::addToBody(MHD_Connection *Connection, CallerConnection &Each,
                            const char *Body, std::size_t Length) {
  Each.BodyBytes += Length;
  this->keepBody(Each, Body, Length);
  if (Each.BodyBytes > this->Settings.MaxBodyBytes * DiscardFactor)
    this->refuseTooLarge(Connection, Each.Request);
  return MHD_YES;
}

void CallerServer::keepBody(CallerConnection &Each, const char *Body,
                            std::size_t Length) {
  CallerRequest &Request = Each.Request;
  if (Request.IsTooLarge || Request.IsOverloaded)
    return;
  if (Each.BodyBytes > this->Settings.MaxBodyBytes) {
    // The id is looked for in what is kept.
    Request.IsTooLarge = true;
    Length = this->Settings.MaxBodyBytes - Request.Body.size();
  }
  const std::size_t Together = this->BufferedBytes.fetch_add(Length) + Length;
  if (Together > this->Settings.MaxBufferedBytes) {
    this->BufferedBytes -= Length;
    Request.IsOverloaded = true;
    return;
  }
  Request.Body.append(Body, Length);
}

void CallerServer::refuseTooLarge(MHD_Connection *Connection,
                                  const CallerRequest &Request) {
  const auto Decoded = JsonCodec::decodeQuery(Request);
  const auto *Error = std::get_if<DecodeError>(&Decoded);
  const auto Id = Error ? Error->Id : common::RequestId();
  this->Guard.refuse(socketOf(Connection),
                     makeRefusal(Id, common::ResultCode::RequestTooLarge));
}

int CallerServer::dispatch(MHD_Connection *Connection, CallerConnection &Each) {
  if (!this->Guard.release(socketOf(Connection)))
    return MHD_NO;
  Each.Call = std::make_shared<PendingCall>(Connection);
  this->Dispatcher.dispatch(Each.Request, Each.Call);
  if (Each.Call->suspendUnlessReady())
    return MHD_YES;
  return this->send(Connection, *Each.Call->take());
}

int CallerServer::send(MHD_Connection *Connection,
                       const HttpResponse &Response) {
  this->limit(Connection, this->Settings.WriteTime, ConnectionPhase::Writing);
  MHD_Response *Message = ::MHD_create_response_from_buffer(
      Response.Body.size(), const_cast<char *>(Response.Body.data()),
      MHD_RESPMEM_MUST_COPY);
  if (!Message)
    return MHD_NO;
  ::MHD_add_response_header(Message, MHD_HTTP_HEADER_CONTENT_TYPE,
                            Response.ContentType.c_str());
  if (this->IsLeaving)
    ::MHD_add_response_header(Message, MHD_HTTP_HEADER_CONNECTION, "close");
  const int Result = ::MHD_queue_response(Connection, Response.Status, Message);
  ::MHD_destroy_response(Message);
  return Result;
}

void CallerServer::onCompleted(MHD_Connection *Connection,
                               CallerConnection *Each) {
  // Also called for requests that were malformed before they began.
  if (!Each)
    return;
  this->limit(Connection, this->Settings.IdleTime, ConnectionPhase::Idle);
  this->releaseBody(*Each);
  delete Each;
  const std::lock_guard Held(this->Mutex);
  --this->Open;
  this->Idle.notify_all();
}

void CallerServer::releaseBody(CallerConnection &Each) {
  this->BufferedBytes -= Each.Request.Body.size();
  Each.Request.Body.clear();
}

void CallerServer::onOpened(MHD_Connection *Connection) {
  this->limit(Connection, this->Settings.ReadTime, ConnectionPhase::Opened);
  const std::lock_guard Held(this->Mutex);
  ++this->Connections;
}

void CallerServer::onClosed(MHD_Connection *Connection) {
  this->Guard.forget(socketOf(Connection));
  const std::lock_guard Held(this->Mutex);
  --this->Connections;
  this->Idle.notify_all();
}

void CallerServer::limit(MHD_Connection *Connection,
                         std::chrono::milliseconds Time,
                         ConnectionPhase Phase) {
  this->Guard.limit(socketOf(Connection),
                    {this->Ticker.monotonicNow() + Time, Phase});
}

} // namespace acaciacross::frontend
