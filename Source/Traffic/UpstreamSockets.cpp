#include "Traffic/UpstreamSockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

namespace acaciacross::traffic {

namespace {

common::Address endpointOf(const curl_sockaddr &Target) {
  if (Target.family != AF_INET)
    return {};
  const auto *Remote = reinterpret_cast<const sockaddr_in *>(&Target.addr);
  char Host[INET_ADDRSTRLEN] = {};
  ::inet_ntop(AF_INET, &Remote->sin_addr, Host, sizeof(Host));
  return {Host, ntohs(Remote->sin_port)};
}

std::uint16_t localPort(curl_socket_t Socket) {
  sockaddr_in Local{};
  socklen_t Size = sizeof(Local);
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Local), &Size);
  return ntohs(Local.sin_port);
}

} // namespace

UpstreamSockets::UpstreamSockets(ClosingSockets &Ending, SocketCloseSink &Told)
    : Closing(Ending), Sink(Told) {}

void UpstreamSockets::attach(CURL *Easy) {
  ::curl_easy_setopt(Easy, CURLOPT_OPENSOCKETFUNCTION, &UpstreamSockets::open);
  ::curl_easy_setopt(Easy, CURLOPT_OPENSOCKETDATA, this);
  ::curl_easy_setopt(Easy, CURLOPT_CLOSESOCKETFUNCTION,
                     &UpstreamSockets::close);
  ::curl_easy_setopt(Easy, CURLOPT_CLOSESOCKETDATA, this);
}

// libcurl offers no way to close one idle connection. It finds out by itself
// that a socket is shut down before it would use it again.
bool UpstreamSockets::closeIdleAbove(std::uint32_t Quota,
                                     const std::set<std::uint16_t> &BusyPorts) {
  for (auto &[Socket, Each] : this->Sockets) {
    const auto Count = this->OpenAt.find(Each.Endpoint);
    const bool IsAbove = Count != this->OpenAt.end() && Count->second > Quota;
    if (!IsAbove || Each.IsShutDown || BusyPorts.contains(localPort(Socket)))
      continue;
    ::shutdown(Socket, SHUT_RDWR);
    Each.IsShutDown = true;
    if (--Count->second == 0)
      this->OpenAt.erase(Count);
  }
  return std::all_of(this->OpenAt.begin(), this->OpenAt.end(),
                     [&](const auto &Each) { return Each.second <= Quota; });
}

std::size_t UpstreamSockets::openAt(const common::Address &Endpoint) const {
  const auto Count = this->OpenAt.find(Endpoint);
  return Count == this->OpenAt.end() ? 0 : Count->second;
}

std::size_t UpstreamSockets::peak() const { return this->Peak; }

curl_socket_t UpstreamSockets::open(void *Self, curlsocktype,
                                    curl_sockaddr *Target) {
  auto &Table = *static_cast<UpstreamSockets *>(Self);
  const curl_socket_t Socket = ::socket(
      Target->family, Target->socktype | SOCK_CLOEXEC, Target->protocol);
  if (Socket == CURL_SOCKET_BAD)
    return Socket;
  const common::Address Endpoint = endpointOf(*Target);
  Table.Sockets[Socket] = {Endpoint, false};
  Table.Peak = std::max(Table.Peak, ++Table.OpenAt[Endpoint]);
  return Socket;
}

// The searcher counts the connection until it has seen its end. A new one that
// is opened before could be one too many for its cap.
int UpstreamSockets::close(void *Self, curl_socket_t Socket) {
  auto &Table = *static_cast<UpstreamSockets *>(Self);
  const auto Found = Table.Sockets.find(Socket);
  if (Found == Table.Sockets.end())
    return ::close(Socket);
  const UpstreamSocket Closed = Found->second;
  Table.Sockets.erase(Found);
  const auto Count = Table.OpenAt.find(Closed.Endpoint);
  // Sockets that are shut down are not counted any more.
  if (!Closed.IsShutDown && --Count->second == 0)
    Table.OpenAt.erase(Count);
  Table.Closing.add(Socket, Closed.Endpoint);
  Table.Sink.onClosing(Closed.Endpoint);
  return 0;
}

} // namespace acaciacross::traffic
