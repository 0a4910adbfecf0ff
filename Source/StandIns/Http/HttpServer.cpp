#include "StandIns/Http/HttpServer.h"

#include "Common/Error.h"
#include "Common/ResultCode.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cstring>
#include <memory>
#include <microhttpd.h>
#include <sys/socket.h>

namespace acaciacross::standins {

namespace {

constexpr std::size_t MaxBodyBytes = std::size_t{4} << 20;
/// Higher than the connection cap of any stand-in. The policy closes
/// connections over the cap, while this limit of the library leaves them in the
/// backlog.
constexpr unsigned MaxConnections = 4096;

struct Connection {
  common::MonotonicTime AcceptedAt = std::chrono::steady_clock::now();
  bool HasRequest = false;
};

struct PendingRequest {
  HttpRequest Request;
  bool IsTooLarge = false;
};

MHD_Result addParameter(void *Target, MHD_ValueKind, const char *Name,
                        const char *Value) {
  auto &Parameters = *static_cast<std::map<std::string, std::string> *>(Target);
  Parameters[Name] = Value == nullptr ? "" : Value;
  return MHD_YES;
}

MHD_Result addHeader(void *Target, MHD_ValueKind, const char *Name,
                     const char *Value) {
  std::string Lower = Name;
  std::transform(
      Lower.begin(), Lower.end(), Lower.begin(),
      [](unsigned char C) { return static_cast<char>(std::tolower(C)); });
  auto &Headers = *static_cast<std::map<std::string, std::string> *>(Target);
  Headers[Lower] = Value == nullptr ? "" : Value;
  return MHD_YES;
}

MHD_Result sendReply(MHD_Connection *MhdConnection,
                     const HttpResponse &Response) {
  MHD_Response *Reply = MHD_create_response_from_buffer(
      Response.Body.size(),
      const_cast<char *>(Response.Body.data()), // the library copies the body
      MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(Reply, "Content-Type", "application/json");
  for (const auto &[Name, Value] : Response.Headers)
    MHD_add_response_header(Reply, Name.c_str(), Value.c_str());
  const MHD_Result Queued =
      MHD_queue_response(MhdConnection, Response.Status, Reply);
  MHD_destroy_response(Reply);
  return Queued;
}

MHD_Result finish(MHD_Connection *MhdConnection, const HttpRequest &Request,
                  const HttpResponse &Response) {
  if (Response.Delivery == HttpResponse::DeliveryMode::Reply)
    return sendReply(MhdConnection, Response);
  if (Response.Delivery == HttpResponse::DeliveryMode::ResetWithoutReply) {
    const linger Abort{1, 0};
    setsockopt(Request.Socket, SOL_SOCKET, SO_LINGER, &Abort, sizeof(Abort));
  }
  return MHD_NO;
}

void readRequestHead(MHD_Connection *MhdConnection, const char *Url,
                     const char *Method, HttpRequest &Request) {
  Request.Method = Method;
  Request.Path = Url;
  MHD_get_connection_values(MhdConnection, MHD_GET_ARGUMENT_KIND, addParameter,
                            &Request.Parameters);
  MHD_get_connection_values(MhdConnection, MHD_HEADER_KIND, addHeader,
                            &Request.Headers);
  Request.Socket =
      MHD_get_connection_info(MhdConnection, MHD_CONNECTION_INFO_CONNECTION_FD)
          ->connect_fd;
  auto *Context = static_cast<Connection *>(
      MHD_get_connection_info(MhdConnection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
          ->socket_context);
  Request.ConnectionAcceptedAt = Context->AcceptedAt;
  Request.IsFirstOnConnection = !Context->HasRequest;
  Context->HasRequest = true;
}

MHD_Result onRequest(void *Handler, MHD_Connection *MhdConnection,
                     const char *Url, const char *Method, const char *,
                     const char *Data, size_t *Size, void **Context) {
  if (*Context == nullptr) {
    auto *Pending = new PendingRequest;
    readRequestHead(MhdConnection, Url, Method, Pending->Request);
    *Context = Pending;
    return MHD_YES;
  }
  auto &Pending = *static_cast<PendingRequest *>(*Context);
  if (*Size > 0) {
    Pending.IsTooLarge |= Pending.Request.Body.size() + *Size > MaxBodyBytes;
    if (!Pending.IsTooLarge)
      Pending.Request.Body.append(Data, *Size);
    *Size = 0;
    return MHD_YES;
  }
  if (Pending.IsTooLarge)
    return sendReply(MhdConnection,
                     {413, "{}", {}, HttpResponse::DeliveryMode::Reply});
  return finish(MhdConnection, Pending.Request,
                static_cast<HttpHandler *>(Handler)->handle(Pending.Request));
}

void onCompleted(void *, MHD_Connection *, void **Context,
                 MHD_RequestTerminationCode) {
  delete static_cast<PendingRequest *>(*Context);
  *Context = nullptr;
}

MHD_Result onAccept(void *Policy, const sockaddr *, socklen_t) {
  return static_cast<ConnectionPolicy *>(Policy)->admitConnection() ? MHD_YES
                                                                    : MHD_NO;
}

void onConnection(void *Policy, MHD_Connection *, void **Context,
                  MHD_ConnectionNotificationCode Code) {
  if (Code == MHD_CONNECTION_NOTIFY_STARTED) {
    *Context = new Connection;
    return;
  }
  delete static_cast<Connection *>(*Context);
  static_cast<ConnectionPolicy *>(Policy)->connectionClosed();
}

} // namespace

HttpServer::HttpServer(const common::Address &Listen, HttpHandler &Handler,
                       ConnectionPolicy &Policy)
    : Handler(Handler) {
  sockaddr_in BindAddress{};
  BindAddress.sin_family = AF_INET;
  BindAddress.sin_port = htons(Listen.Port);
  inet_pton(AF_INET, Listen.Host.c_str(), &BindAddress.sin_addr);
  this->Daemon = MHD_start_daemon(
      MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION |
          MHD_USE_POLL,
      Listen.Port, onAccept, &Policy, onRequest, &Handler, MHD_OPTION_SOCK_ADDR,
      &BindAddress, MHD_OPTION_CONNECTION_LIMIT, MaxConnections,
      MHD_OPTION_NOTIFY_COMPLETED, onCompleted, nullptr,
      MHD_OPTION_NOTIFY_CONNECTION, onConnection, &Policy,
      MHD_OPTION_THREAD_STACK_SIZE, std::size_t{256} << 10,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
  if (this->Daemon == nullptr)
    throw common::Error(common::ResultCode::SocketFailed,
                        "cannot listen on " + Listen.toString());
}

HttpServer::~HttpServer() {
  this->Handler.stop();
  MHD_stop_daemon(this->Daemon);
}

std::uint16_t HttpServer::port() const {
  return MHD_get_daemon_info(this->Daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

} // namespace acaciacross::standins
