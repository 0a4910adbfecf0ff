#include "Net/Sockets.h"

#include "Common/Error.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <chrono>

namespace acaciacross::net {

namespace {

// Room for callers that reconnect together after a loss of many VMs: a full
// queue drops the opening packet, which is repeated only after a second.
constexpr int ListenBacklog = 1024;

// A peer that vanished without a reset is noticed after about three times this
// while the connection is idle.
constexpr std::chrono::seconds KeepAlivePeriod{5};
constexpr int KeepAliveProbes = 2;
// Bytes that nobody acknowledges for this long end the connection.
constexpr std::chrono::milliseconds UnacknowledgedLimit{4'000};

sockaddr_in toSystem(const common::Address &Where) {
  sockaddr_in System{};
  System.sin_family = AF_INET;
  System.sin_port = htons(Where.Port);
  ::inet_pton(AF_INET, Where.Host.c_str(), &System.sin_addr);
  return System;
}

void setOption(const Descriptor &Socket, int Level, int Name, int Value) {
  ::setsockopt(Socket.get(), Level, Name, &Value, sizeof Value);
}

void setTransferOptions(const Descriptor &Socket) {
  setOption(Socket, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  const int Period = static_cast<int>(KeepAlivePeriod.count());
  setOption(Socket, IPPROTO_TCP, TCP_KEEPIDLE, Period);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPINTVL, Period);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  setOption(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(UnacknowledgedLimit.count()));
}

} // namespace

Descriptor listenAt(const common::Address &Local) {
  Descriptor Socket(
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const sockaddr_in Where = toSystem(Local);
  if (Socket.isOpen()) {
    setOption(Socket, SOL_SOCKET, SO_REUSEADDR, 1);
    const auto *Generic = reinterpret_cast<const sockaddr *>(&Where);
    if (::bind(Socket.get(), Generic, sizeof Where) == 0 &&
        ::listen(Socket.get(), ListenBacklog) == 0)
      return Socket;
  }
  throw common::Error(common::ResultCode::SocketFailed,
                      "no listening socket at " + Local.toString());
}

Descriptor beginConnect(const common::Address &Remote) {
  Descriptor Socket(
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!Socket.isOpen())
    return Socket;
  setTransferOptions(Socket);
  const sockaddr_in Where = toSystem(Remote);
  const auto *Generic = reinterpret_cast<const sockaddr *>(&Where);
  if (::connect(Socket.get(), Generic, sizeof Where) != 0 &&
      errno != EINPROGRESS)
    Socket.reset();
  return Socket;
}

Descriptor acceptFrom(const Descriptor &Listening) {
  Descriptor Socket(::accept4(Listening.get(), nullptr, nullptr,
                              SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (Socket.isOpen())
    setTransferOptions(Socket);
  return Socket;
}

int takeSocketError(const Descriptor &Socket) {
  int Error = 0;
  socklen_t Length = sizeof Error;
  if (::getsockopt(Socket.get(), SOL_SOCKET, SO_ERROR, &Error, &Length) != 0)
    return errno;
  return Error;
}

} // namespace acaciacross::net
