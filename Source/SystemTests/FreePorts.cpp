#include "SystemTests/FreePorts.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace acaciacross::systemtests {

namespace {

// Below the range from which the kernel takes ports of outgoing connections,
// so that none of these takes a port before its process listens.
constexpr std::uint32_t FirstPort = 12'000;
constexpr std::uint32_t EndPort = 32'000;
// Test programs started one after another begin at different ports.
constexpr std::uint32_t PortsPerProcess = 211;

bool isFree(int Type, std::uint32_t Port) {
  const int Socket = ::socket(AF_INET, Type | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool Bound =
      ::bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
             sizeof(Address)) == 0;
  ::close(Socket);
  return Bound;
}

} // namespace

FreePorts::FreePorts()
    : Candidate(FirstPort + static_cast<std::uint32_t>(::getpid()) *
                                PortsPerProcess % (EndPort - FirstPort)) {}

std::string FreePorts::next() {
  for (std::uint32_t Tried = FirstPort; Tried < EndPort; ++Tried) {
    const std::uint32_t Port = this->Candidate++;
    if (this->Candidate >= EndPort)
      this->Candidate = FirstPort;
    if (isFree(SOCK_STREAM, Port) && isFree(SOCK_DGRAM, Port))
      return "127.0.0.1:" + std::to_string(Port);
  }
  throw std::runtime_error("no free loopback port");
}

} // namespace acaciacross::systemtests
