#include "Frontend/ConnectionGuard.h"

#include <chrono>

#include <sys/socket.h>

namespace acaciacross::frontend {

ConnectionGuard::ConnectionGuard() : Thread([this] { this->run(); }) {}

ConnectionGuard::~ConnectionGuard() {
  {
    const std::lock_guard Guard(this->Mutex);
    this->IsStopping = true;
  }
  this->Changed.notify_all();
  this->Thread.join();
}

void ConnectionGuard::limit(int Socket, common::MonotonicTime At) {
  this->release(Socket);
  const std::lock_guard Guard(this->Mutex);
  this->Limits.emplace(Socket, At);
  this->Order.emplace(At, Socket);
  if (this->Order.begin()->second == Socket)
    this->Changed.notify_all();
}

void ConnectionGuard::release(int Socket) {
  const std::lock_guard Guard(this->Mutex);
  const auto Known = this->Limits.find(Socket);
  if (Known == this->Limits.end())
    return;
  this->Order.erase({Known->second, Socket});
  this->Limits.erase(Known);
}

// The shutdown happens under the lock: a socket is released before it is
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
    ::shutdown(Socket, SHUT_RDWR);
    this->Limits.erase(Socket);
    this->Order.erase(this->Order.begin());
  }
}

} // namespace acaciacross::frontend
