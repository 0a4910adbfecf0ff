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

void RawCaller::sendRequest(const std::string &RequestLine,
                            const std::string &Body) {
  this->send(RequestLine + " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
             std::to_string(Body.size()) + "\r\n\r\n" + Body);
}

std::string RawCaller::receive() {
  std::string Response;
  char Buffer[4096];
  while (true) {
    const std::size_t HeadersEnd = Response.find("\r\n\r\n");
    const std::string FieldName = "Content-Length: ";
    const std::size_t LengthField = Response.find(FieldName);
    if (HeadersEnd != std::string::npos && LengthField != std::string::npos &&
        Response.size() >=
            HeadersEnd + 4 +
                std::strtoul(Response.c_str() + LengthField + FieldName.size(),
                             nullptr, 10))
      return Response;
    const ssize_t Count = ::recv(this->Socket, Buffer, sizeof(Buffer), 0);
    if (Count <= 0)
      return Response;
    Response.append(Buffer, static_cast<std::size_t>(Count));
  }
}

} // namespace acaciacross::frontend
