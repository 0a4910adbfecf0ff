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

UpstreamSockets::UpstreamSockets(ClosingSockets &Closing, SocketCloseSink &Sink)
    : Closing(Closing), Sink(Sink) {}

void UpstreamSockets::attach(CURL *Easy) {
  ::curl_easy_setopt(Easy, CURLOPT_OPENSOCKETFUNCTION, &UpstreamSockets::open);
  ::curl_easy_setopt(Easy, CURLOPT_OPENSOCKETDATA, this);
  ::curl_easy_setopt(Easy, CURLOPT_CLOSESOCKETFUNCTION,
                     &UpstreamSockets::close);
  ::curl_easy_setopt(Easy, CURLOPT_CLOSESOCKETDATA, this);
}

// libcurl has no function to close a single idle connection. Before it reuses a
// connection, it detects that the socket was shut down.
bool UpstreamSockets::closeIdleAbove(std::uint32_t Quota,
                                     const std::set<std::uint16_t> &BusyPorts) {
  for (auto &[Socket, Entry] : this->Sockets) {
    const auto Count = this->OpenCounts.find(Entry.Endpoint);
    const bool IsAbove =
        Count != this->OpenCounts.end() && Count->second > Quota;
    if (!IsAbove || Entry.IsShutDown || BusyPorts.contains(localPort(Socket)))
      continue;
    ::shutdown(Socket, SHUT_RDWR);
    Entry.IsShutDown = true;
    if (--Count->second == 0)
      this->OpenCounts.erase(Count);
  }
  return std::all_of(this->OpenCounts.begin(), this->OpenCounts.end(),
                     [&](const auto &Entry) { return Entry.second <= Quota; });
}

std::size_t
UpstreamSockets::openConnectionCount(const common::Address &Endpoint) const {
  const auto Count = this->OpenCounts.find(Endpoint);
  return Count == this->OpenCounts.end() ? 0 : Count->second;
}

std::size_t UpstreamSockets::peakConnectionCount() const { return this->Peak; }

curl_socket_t UpstreamSockets::open(void *Self, curlsocktype,
                                    curl_sockaddr *Target) {
  auto &Table = *static_cast<UpstreamSockets *>(Self);
  const curl_socket_t Socket = ::socket(
      Target->family, Target->socktype | SOCK_CLOEXEC, Target->protocol);
  if (Socket == CURL_SOCKET_BAD)
    return Socket;
  const common::Address Endpoint = endpointOf(*Target);
  Table.Sockets[Socket] = {Endpoint, false};
  Table.Peak = std::max(Table.Peak, ++Table.OpenCounts[Endpoint]);
  return Socket;
}

// The searcher counts a connection until it has seen its end. A new connection
// that is opened earlier could exceed the searcher's limit.
int UpstreamSockets::close(void *Self, curl_socket_t Socket) {
  auto &Table = *static_cast<UpstreamSockets *>(Self);
  const auto Found = Table.Sockets.find(Socket);
  if (Found == Table.Sockets.end())
    return ::close(Socket);
  const UpstreamSocket Closed = Found->second;
  Table.Sockets.erase(Found);
  const auto Count = Table.OpenCounts.find(Closed.Endpoint);
  // closeIdleAbove has already subtracted sockets that it shut down.
  if (!Closed.IsShutDown && --Count->second == 0)
    Table.OpenCounts.erase(Count);
  Table.Closing.add(Socket, Closed.Endpoint);
  Table.Sink.onClosing(Closed.Endpoint);
  return 0;
}

} // namespace acaciacross::traffic
