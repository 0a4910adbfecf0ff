#include "Net/Sockets.h"

#include "Common/Error.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <limits>

namespace acaciacross::net {

namespace {

// Holds the connections of callers that reconnect together after the loss of
// many VMs. A full queue drops the SYN packet, which is sent again only after a
// second.
constexpr int ListenBacklog = 1024;

// On an idle connection, a peer that disappears without a reset is detected
// after about three times this period.
constexpr std::chrono::seconds KeepAlivePeriod{5};
constexpr int KeepAliveProbes = 2;
// A connection ends when sent bytes stay unacknowledged for this long.
constexpr std::chrono::milliseconds UnacknowledgedTimeout{4'000};

sockaddr_in toSocketAddress(const common::Address &Address) {
  sockaddr_in Result{};
  Result.sin_family = AF_INET;
  Result.sin_port = htons(Address.Port);
  ::inet_pton(AF_INET, Address.Host.c_str(), &Result.sin_addr);
  return Result;
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
            static_cast<int>(UnacknowledgedTimeout.count()));
}

} // namespace

Descriptor listenAt(const common::Address &Local) {
  Descriptor Socket(
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const sockaddr_in SocketAddress = toSocketAddress(Local);
  if (Socket.isOpen()) {
    setOption(Socket, SOL_SOCKET, SO_REUSEADDR, 1);
    const auto *RawAddress = reinterpret_cast<const sockaddr *>(&SocketAddress);
    if (::bind(Socket.get(), RawAddress, sizeof SocketAddress) == 0 &&
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
  const sockaddr_in SocketAddress = toSocketAddress(Remote);
  const auto *RawAddress = reinterpret_cast<const sockaddr *>(&SocketAddress);
  if (::connect(Socket.get(), RawAddress, sizeof SocketAddress) != 0 &&
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

std::string remoteHost(const Descriptor &Socket) {
  sockaddr_in Peer{};
  socklen_t Size = sizeof Peer;
  auto *RawAddress = reinterpret_cast<sockaddr *>(&Peer);
  std::array<char, INET_ADDRSTRLEN> Text{};
  if (::getpeername(Socket.get(), RawAddress, &Size) != 0 ||
      ::inet_ntop(AF_INET, &Peer.sin_addr, Text.data(), Text.size()) == nullptr)
    return {};
  return Text.data();
}

std::size_t descriptorLimit() {
  rlimit Limit{};
  if (::getrlimit(RLIMIT_NOFILE, &Limit) != 0 || Limit.rlim_cur == 0)
    return std::numeric_limits<std::size_t>::max();
  return static_cast<std::size_t>(Limit.rlim_cur);
}

std::size_t unacknowledgedBytes(const Descriptor &Socket) {
  int Count = 0;
  if (::ioctl(Socket.get(), SIOCOUTQ, &Count) != 0)
    return 0;
  return static_cast<std::size_t>(Count);
}

int takeSocketError(const Descriptor &Socket) {
  int Error = 0;
  socklen_t Length = sizeof Error;
  if (::getsockopt(Socket.get(), SOL_SOCKET, SO_ERROR, &Error, &Length) != 0)
    return errno;
  return Error;
}

} // namespace acaciacross::net
