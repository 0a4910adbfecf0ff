#include "SystemTests/FreePorts.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace acaciacross::systemtests {

namespace {

// Below the ephemeral port range, so that no outgoing connection can take a
// port before the process that it is meant for binds it.
constexpr std::uint32_t FirstPort = 12'000;
constexpr std::uint32_t EndPort = 32'000;
// Consecutive test programs start at different ports.
constexpr std::uint32_t PortsPerProcess = 211;

bool isFree(int Type, std::uint32_t Port) {
  const int Socket = ::socket(AF_INET, Type | SOCK_CLOEXEC, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool IsBound =
      ::bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
             sizeof(Address)) == 0;
  ::close(Socket);
  return IsBound;
}

} // namespace

FreePorts::FreePorts()
    : Candidate(FirstPort + static_cast<std::uint32_t>(::getpid()) *
                                PortsPerProcess % (EndPort - FirstPort)) {}

std::string FreePorts::next() {
  for (std::uint32_t Count = FirstPort; Count < EndPort; ++Count) {
    const std::uint32_t Port = this->Candidate++;
    if (this->Candidate >= EndPort)
      this->Candidate = FirstPort;
    if (isFree(SOCK_STREAM, Port) && isFree(SOCK_DGRAM, Port))
      return "127.0.0.1:" + std::to_string(Port);
  }
  throw std::runtime_error("no free loopback port");
}

} // namespace acaciacross::systemtests
