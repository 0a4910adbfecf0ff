#include "RawCaller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>

namespace acaciacross::frontend {

RawCaller::RawCaller(const common::Address &Server)
    : Socket(::socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in Remote{};
  Remote.sin_family = AF_INET;
  Remote.sin_port = htons(Server.Port);
  ::inet_pton(AF_INET, Server.Host.c_str(), &Remote.sin_addr);
  if (::connect(this->Socket, reinterpret_cast<sockaddr *>(&Remote),
                sizeof(Remote)) != 0)
    std::abort();
}

RawCaller::~RawCaller() { ::close(this->Socket); }

bool RawCaller::send(const std::string &Bytes) {
  return ::send(this->Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(Bytes.size());
}

void RawCaller::sendRequest(const std::string &Line, const std::string &Body) {
  this->send(Line + " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
             std::to_string(Body.size()) + "\r\n\r\n" + Body);
}

std::string RawCaller::receive() {
  std::string Text;
  char Bytes[4096];
  while (true) {
    const std::size_t End = Text.find("\r\n\r\n");
    const std::string Name = "Content-Length: ";
    const std::size_t Length = Text.find(Name);
    if (End != std::string::npos && Length != std::string::npos &&
        Text.size() >=
            End + 4 +
                std::strtoul(Text.c_str() + Length + Name.size(), nullptr, 10))
      return Text;
    const ssize_t Count = ::recv(this->Socket, Bytes, sizeof(Bytes), 0);
    if (Count <= 0)
      return Text;
    Text.append(Bytes, static_cast<std::size_t>(Count));
  }
}

} // namespace acaciacross::frontend
