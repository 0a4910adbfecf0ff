#include "Frontend/ConnectionGuard.h"

#include <chrono>

#include <sys/socket.h>

namespace acaciacross::frontend {

namespace {

// A socket that is closed while the caller still sends is reset, and the caller
// may lose the response. This long its bytes are read and dropped.
constexpr std::chrono::milliseconds LingerTime{1000};

bool isIdle(ConnectionPhase Phase) {
  return Phase == ConnectionPhase::Idle || Phase == ConnectionPhase::Opened;
}

// Callers do not expect a response on a connection that they keep for later.
bool isAnswered(ConnectionPhase Phase) {
  return Phase == ConnectionPhase::Reading || Phase == ConnectionPhase::Opened;
}

} // namespace

ConnectionGuard::ConnectionGuard(std::string TooSlow)
    : TooSlowResponse(std::move(TooSlow)), Thread([this] { this->run(); }) {}

ConnectionGuard::~ConnectionGuard() {
  {
    const std::lock_guard Guard(this->Mutex);
    this->IsStopping = true;
  }
  this->Changed.notify_all();
  this->Thread.join();
}

void ConnectionGuard::limit(int Socket, ConnectionLimit Each) {
  const std::lock_guard Guard(this->Mutex);
  // What remains of its life is limited already.
  if (this->Refused.contains(Socket))
    return;
  this->set(Socket, Each);
  if (this->IsClosingIdle && isIdle(Each.Phase))
    ::shutdown(Socket, SHUT_RD);
}

bool ConnectionGuard::release(int Socket) {
  const std::lock_guard Guard(this->Mutex);
  if (this->Refused.contains(Socket))
    return false;
  this->erase(Socket);
  return true;
}

void ConnectionGuard::refuse(int Socket, const std::string &Response) {
  const std::lock_guard Guard(this->Mutex);
  if (!this->Refused.contains(Socket))
    this->sendRefusal(Socket, Response);
}

void ConnectionGuard::forget(int Socket) {
  const std::lock_guard Guard(this->Mutex);
  this->erase(Socket);
  this->Refused.erase(Socket);
}

// The kernel still gives out what arrived before, then the end of the stream,
// at which libmicrohttpd closes a connection without a request.
void ConnectionGuard::closeIdle() {
  const std::lock_guard Guard(this->Mutex);
  this->IsClosingIdle = true;
  for (const auto &[Socket, Each] : this->Limits)
    if (isIdle(Each.Phase))
      ::shutdown(Socket, SHUT_RD);
}

// The shutdown happens under the lock: a socket is forgotten before it is
// closed, so its number cannot belong to another connection meanwhile.
void ConnectionGuard::run() {
  std::unique_lock Guard(this->Mutex);
  while (!this->IsStopping) {
    if (this->Order.empty()) {
      this->Changed.wait(Guard);
      continue;
    }
    const auto [At, Socket] = *this->Order.begin();
    if (std::chrono::steady_clock::now() < At) {
      this->Changed.wait_until(Guard, At);
      continue;
    }
    if (isAnswered(this->Limits.at(Socket).Phase) &&
        !this->Refused.contains(Socket)) {
      this->sendRefusal(Socket, this->TooSlowResponse);
      continue;
    }
    ::shutdown(Socket, SHUT_RDWR);
    this->erase(Socket);
  }
}

void ConnectionGuard::set(int Socket, ConnectionLimit Each) {
  this->erase(Socket);
  this->Limits.emplace(Socket, Each);
  this->Order.emplace(Each.At, Socket);
  if (this->Order.begin()->second == Socket)
    this->Changed.notify_all();
}

void ConnectionGuard::erase(int Socket) {
  const auto Known = this->Limits.find(Socket);
  if (Known == this->Limits.end())
    return;
  this->Order.erase({Known->second.At, Socket});
  this->Limits.erase(Known);
}

// No other response is being sent on the connection: libmicrohttpd sends none
// before it has read the request.
void ConnectionGuard::sendRefusal(int Socket, const std::string &Response) {
  this->Refused.insert(Socket);
  ::send(Socket, Response.data(), Response.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  ::shutdown(Socket, SHUT_WR);
  this->set(Socket, {std::chrono::steady_clock::now() + LingerTime,
                     ConnectionPhase::Reading});
}

} // namespace acaciacross::frontend
