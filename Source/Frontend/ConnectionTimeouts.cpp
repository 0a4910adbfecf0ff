#include "Frontend/ConnectionTimeouts.h"

#include <chrono>

#include <sys/socket.h>

namespace acaciacross::frontend {

namespace {

// Time during which the rest of a refused request is read and discarded.
// Closing the socket while the caller still sends resets the connection, and
// the caller may lose the response.
constexpr std::chrono::milliseconds LingerTimeout{1000};

bool isIdle(ConnectionPhase Phase) {
  return Phase == ConnectionPhase::Idle || Phase == ConnectionPhase::Opened;
}

// Callers do not expect a response on an idle connection.
bool expectsResponse(ConnectionPhase Phase) {
  return Phase == ConnectionPhase::Reading || Phase == ConnectionPhase::Opened;
}

} // namespace

ConnectionTimeouts::ConnectionTimeouts(std::string TooSlowResponse)
    : TooSlowResponse(std::move(TooSlowResponse)),
      Thread([this] { this->run(); }) {}

ConnectionTimeouts::~ConnectionTimeouts() {
  {
    const std::lock_guard Guard(this->Mutex);
    this->IsStopping = true;
  }
  this->Changed.notify_all();
  this->Thread.join();
}

void ConnectionTimeouts::limit(int Socket, ConnectionDeadline Deadline) {
  const std::lock_guard Guard(this->Mutex);
  // sendRefusal has set the final deadline of the connection.
  if (this->RefusedSockets.contains(Socket))
    return;
  this->set(Socket, Deadline);
  if (this->IsClosingIdle && isIdle(Deadline.Phase))
    ::shutdown(Socket, SHUT_RD);
}

bool ConnectionTimeouts::cancel(int Socket) {
  const std::lock_guard Guard(this->Mutex);
  if (this->RefusedSockets.contains(Socket))
    return false;
  this->erase(Socket);
  return true;
}

void ConnectionTimeouts::refuse(int Socket, const std::string &Response) {
  const std::lock_guard Guard(this->Mutex);
  if (!this->RefusedSockets.contains(Socket))
    this->sendRefusal(Socket, Response);
}

void ConnectionTimeouts::remove(int Socket) {
  const std::lock_guard Guard(this->Mutex);
  this->erase(Socket);
  this->RefusedSockets.erase(Socket);
}

// After SHUT_RD the kernel still delivers the data that arrived before, then
// the end of the stream. libmicrohttpd then closes a connection without a
// request.
void ConnectionTimeouts::closeIdle() {
  const std::lock_guard Guard(this->Mutex);
  this->IsClosingIdle = true;
  for (const auto &[Socket, Deadline] : this->Deadlines)
    if (isIdle(Deadline.Phase))
      ::shutdown(Socket, SHUT_RD);
}

// The socket is shut down under the lock. Sockets are removed before they are
// closed, so the descriptor cannot belong to another connection yet.
void ConnectionTimeouts::run() {
  std::unique_lock Guard(this->Mutex);
  while (!this->IsStopping) {
    if (this->SocketsByTime.empty()) {
      this->Changed.wait(Guard);
      continue;
    }
    const auto [At, Socket] = *this->SocketsByTime.begin();
    if (std::chrono::steady_clock::now() < At) {
      this->Changed.wait_until(Guard, At);
      continue;
    }
    if (expectsResponse(this->Deadlines.at(Socket).Phase) &&
        !this->RefusedSockets.contains(Socket)) {
      this->sendRefusal(Socket, this->TooSlowResponse);
      continue;
    }
    ::shutdown(Socket, SHUT_RDWR);
    this->erase(Socket);
  }
}

void ConnectionTimeouts::set(int Socket, ConnectionDeadline Deadline) {
  this->erase(Socket);
  this->Deadlines.emplace(Socket, Deadline);
  this->SocketsByTime.emplace(Deadline.At, Socket);
  if (this->SocketsByTime.begin()->second == Socket)
    this->Changed.notify_all();
}

void ConnectionTimeouts::erase(int Socket) {
  const auto Found = this->Deadlines.find(Socket);
  if (Found == this->Deadlines.end())
    return;
  this->SocketsByTime.erase({Found->second.At, Socket});
  this->Deadlines.erase(Found);
}

// This cannot interleave with another response, because libmicrohttpd sends
// none before it has read the whole request.
void ConnectionTimeouts::sendRefusal(int Socket, const std::string &Response) {
  this->RefusedSockets.insert(Socket);
  ::send(Socket, Response.data(), Response.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  ::shutdown(Socket, SHUT_WR);
  this->set(Socket, {std::chrono::steady_clock::now() + LingerTimeout,
                     ConnectionPhase::Reading});
}

} // namespace acaciacross::frontend
