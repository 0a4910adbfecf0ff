#include "TestSupport/FindFreeAddress.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace acaciacross::testsupport {

common::Address findFreeAddress() {
  const int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Local{};
  Local.sin_family = AF_INET;
  Local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof Local;
  const bool IsBound =
      ::bind(Socket, reinterpret_cast<sockaddr *>(&Local), sizeof Local) == 0 &&
      ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Local), &Size) == 0;
  ::close(Socket);
  if (!IsBound)
    throw std::runtime_error("no loopback port is free");
  return {"127.0.0.1", ntohs(Local.sin_port)};
}

} // namespace acaciacross::testsupport
