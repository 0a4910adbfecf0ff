#include "Frontend/CallerServer.h"

#include "Common/Error.h"

#include <microhttpd.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <unistd.h>

#include <cstring>
#include <string>
#include <utility>

namespace acaciacross::frontend {

namespace {

// A body somewhat above the limit is read to its end, so that its sender gets
// the refusal with its id; beyond this the connection is closed.
constexpr std::size_t DiscardFactor = 8;

// Request line and headers must fit into this.
constexpr std::size_t MemoryPerConnection = std::size_t{32} << 10;

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
    : Settings(std::move(Chosen)), Dispatcher(Calls), Ticker(Time) {
  sockaddr_in Local{};
  Local.sin_family = AF_INET;
  Local.sin_port = htons(this->Settings.Listen.Port);
  ::inet_pton(AF_INET, this->Settings.Listen.Host.c_str(), &Local.sin_addr);
  this->Daemon = ::MHD_start_daemon(
      MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
      this->Settings.Listen.Port, nullptr, nullptr,
      &CallerServerCallbacks::request, this, MHD_OPTION_SOCK_ADDR, &Local,
      MHD_OPTION_THREAD_POOL_SIZE, this->Settings.Threads,
      MHD_OPTION_CONNECTION_LIMIT, this->Settings.MaxConnections,
      MHD_OPTION_PER_IP_CONNECTION_LIMIT,
      this->Settings.MaxConnectionsPerCaller,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, MemoryPerConnection,
      MHD_OPTION_NOTIFY_COMPLETED, &CallerServerCallbacks::completed, this,
      MHD_OPTION_NOTIFY_CONNECTION, &CallerServerCallbacks::connection, this,
      MHD_OPTION_END);
  if (!this->Daemon)
    throw common::Error(common::ResultCode::SocketFailed,
                        "cannot listen on " + this->Settings.Listen.toString());
}

CallerServer::~CallerServer() { this->stop(); }

common::Address CallerServer::endpoint() const {
  const auto *Info =
      ::MHD_get_daemon_info(this->Daemon, MHD_DAEMON_INFO_BIND_PORT);
  return {this->Settings.Listen.Host, Info->port};
}

void CallerServer::beginLeaving() { this->IsLeaving = true; }

void CallerServer::closePort() {
  const MHD_socket Listener = ::MHD_quiesce_daemon(this->Daemon);
  if (Listener != MHD_INVALID_SOCKET)
    ::close(Listener);
}

bool CallerServer::waitUntilIdle(std::chrono::milliseconds Limit) {
  std::unique_lock Held(this->Mutex);
  return this->Idle.wait_for(Held, Limit, [this] { return this->Open == 0; });
}

void CallerServer::stop() {
  if (this->Daemon)
    ::MHD_stop_daemon(std::exchange(this->Daemon, nullptr));
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
    return this->addToBody(Each, Body, std::exchange(Length, 0));
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
  this->Guard.limit(socketOf(Connection),
                    Each->Request.ReceivedAt + this->Settings.ReadTime);
  const std::lock_guard Held(this->Mutex);
  ++this->Open;
  return Each;
}

int CallerServer::addToBody(CallerConnection &Each, const char *Body,
                            std::size_t Length) {
  CallerRequest &Request = Each.Request;
  Each.BodyBytes += Length;
  if (Each.BodyBytes > this->Settings.MaxBodyBytes * DiscardFactor)
    return MHD_NO;
  if (Request.IsTooLarge || Request.IsOverloaded)
    return MHD_YES;
  if (Each.BodyBytes > this->Settings.MaxBodyBytes) {
    // The id is looked for in what is kept.
    Request.IsTooLarge = true;
    Length = this->Settings.MaxBodyBytes - Request.Body.size();
  }
  const std::size_t Together = this->BufferedBytes.fetch_add(Length) + Length;
  if (Together > this->Settings.MaxBufferedBytes) {
    this->BufferedBytes -= Length;
    Request.IsOverloaded = true;
    return MHD_YES;
  }
  Request.Body.append(Body, Length);
  return MHD_YES;
}

int CallerServer::dispatch(MHD_Connection *Connection, CallerConnection &Each) {
  this->Guard.release(socketOf(Connection));
  Each.Call = std::make_shared<PendingCall>(Connection);
  this->Dispatcher.dispatch(Each.Request, Each.Call);
  if (Each.Call->suspendUnlessReady())
    return MHD_YES;
  return this->send(Connection, *Each.Call->take());
}

int CallerServer::send(MHD_Connection *Connection,
                       const HttpResponse &Response) {
  this->Guard.limit(socketOf(Connection),
                    this->Ticker.monotonicNow() + this->Settings.WriteTime);
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
  this->Guard.limit(socketOf(Connection),
                    this->Ticker.monotonicNow() + this->Settings.IdleTime);
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
  this->Guard.limit(socketOf(Connection),
                    this->Ticker.monotonicNow() + this->Settings.ReadTime);
}

void CallerServer::onClosed(MHD_Connection *Connection) {
  this->Guard.release(socketOf(Connection));
}

} // namespace acaciacross::frontend
