#include "TestSupport/FindFreeAddress.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <set>
#include <stdexcept>
#include <string>

namespace acaciacross::testsupport {

namespace {

/// A loopback host for this process only. Processes that use one host take each
/// other's ports: a port is free again until the test binds it, and any
/// outgoing connection may get it meanwhile.
std::string ownHost() {
  const auto Id = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(1 + Id / 62'500 % 250) + "." +
         std::to_string(Id / 250 % 250) + "." + std::to_string(1 + Id % 250);
}

std::uint16_t freePort(const std::string &Host) {
  const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Local{};
  Local.sin_family = AF_INET;
  ::inet_pton(AF_INET, Host.c_str(), &Local.sin_addr);
  socklen_t Size = sizeof Local;
  const bool IsBound =
      ::bind(Socket, reinterpret_cast<sockaddr *>(&Local), sizeof Local) == 0 &&
      ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Local), &Size) == 0;
  ::close(Socket);
  if (!IsBound)
    throw std::runtime_error("no loopback port is free");
  return ntohs(Local.sin_port);
}

} // namespace

// The system may name one port twice while nothing is bound to it.
common::Address findFreeAddress() {
  static std::set<std::uint16_t> Returned;
  const std::string Host = ownHost();
  std::uint16_t Port = freePort(Host);
  while (!Returned.insert(Port).second)
    Port = freePort(Host);
  return {Host, Port};
}

} // namespace acaciacross::testsupport
