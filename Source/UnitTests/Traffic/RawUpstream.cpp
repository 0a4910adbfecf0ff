#include "RawUpstream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace acaciacross::traffic {

namespace {

bool isComplete(const std::string &Request) {
  const std::size_t End = Request.find("\r\n\r\n");
  if (End == std::string::npos)
    return false;
  const std::string Name = "Content-Length: ";
  const std::size_t Length = Request.find(Name);
  const std::size_t Body =
      Length == std::string::npos
          ? 0
          : std::strtoul(Request.c_str() + Length + Name.size(), nullptr, 10);
  return Request.size() >= End + 4 + Body;
}

} // namespace

RawUpstream::RawUpstream(Responder Respond)
    : Respond(std::move(Respond)), Listener(::socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in Local{};
  Local.sin_family = AF_INET;
  Local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::bind(this->Listener, reinterpret_cast<sockaddr *>(&Local),
             sizeof(Local)) != 0)
    std::abort();
  ::listen(this->Listener, 16);
  if (::pipe(this->Stop) != 0)
    std::abort();
  this->Acceptor = std::jthread([this] { this->accept(); });
}

// Closing the write end of the pipe wakes every poll on the read end.
RawUpstream::~RawUpstream() {
  ::close(this->Stop[1]);
  this->Acceptor.join();
  this->Connections.clear();
  ::close(this->Stop[0]);
  ::close(this->Listener);
}

common::Address RawUpstream::endpoint() const {
  sockaddr_in Local{};
  socklen_t Size = sizeof(Local);
  ::getsockname(this->Listener, reinterpret_cast<sockaddr *>(&Local), &Size);
  return {"127.0.0.1", ntohs(Local.sin_port)};
}

std::vector<std::string> RawUpstream::requests() const {
  const std::lock_guard Guard(this->Mutex);
  return this->Received;
}

std::size_t RawUpstream::closedByPeerCount() const { return this->Closed; }

std::size_t RawUpstream::openConnectionCount() const { return this->Open; }

std::size_t RawUpstream::peakOpenConnectionCount() const { return this->Peak; }

void RawUpstream::accept() {
  pollfd Watched[2] = {{this->Listener, POLLIN, 0}, {this->Stop[0], POLLIN, 0}};
  while (::poll(Watched, 2, -1) > 0 && Watched[1].revents == 0) {
    const int Connection = ::accept(this->Listener, nullptr, nullptr);
    this->Peak = std::max<std::size_t>(this->Peak, ++this->Open);
    this->Connections.emplace_back(
        [this, Connection] { this->serve(Connection); });
  }
}

void RawUpstream::serve(int Connection) {
  std::string Request;
  pollfd Watched[2] = {{Connection, POLLIN, 0}, {this->Stop[0], POLLIN, 0}};
  while (::poll(Watched, 2, -1) > 0 && Watched[1].revents == 0) {
    char Bytes[4096];
    const ssize_t Length = ::recv(Connection, Bytes, sizeof(Bytes), 0);
    if (Length <= 0) {
      ++this->Closed;
      break;
    }
    Request.append(Bytes, static_cast<std::size_t>(Length));
    if (!isComplete(Request))
      continue;
    std::size_t Number = 0;
    {
      const std::lock_guard Guard(this->Mutex);
      Number = this->Received.size();
      this->Received.push_back(Request);
    }
    std::string Text = this->Respond(Number, Request);
    const bool IsLast = Text.empty() || Text.ends_with(CloseMark);
    if (Text.ends_with(CloseMark))
      Text.resize(Text.size() - CloseMark.size());
    ::send(Connection, Text.data(), Text.size(), MSG_NOSIGNAL);
    if (IsLast)
      break;
    Request.clear();
  }
  --this->Open;
  ::close(Connection);
}

} // namespace acaciacross::traffic
