#include "Frontend/CallerAcceptor.h"

#include "Common/Error.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdint>
#include <utility>

namespace acaciacross::frontend {

namespace {

// When no descriptor is left, the listener stays readable; the thread must not
// spin meanwhile.
constexpr std::chrono::milliseconds RetryDelay{50};

bool wouldBlock(int Error) {
  return Error == EAGAIN || Error == EWOULDBLOCK || Error == EINTR ||
         Error == ECONNABORTED;
}

} // namespace

CallerAcceptor::CallerAcceptor(const common::Address &Listen, Handler Accepted)
    : Local(Listen), OnAccepted(std::move(Accepted)),
      Listener(
          ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      StopEvent(::eventfd(0, EFD_CLOEXEC)) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(Listen.Port);
  ::inet_pton(AF_INET, Listen.Host.c_str(), &Address.sin_addr);
  // A restarted process must not wait for the connections of the one before.
  const int Reuse = 1;
  ::setsockopt(this->Listener, SOL_SOCKET, SO_REUSEADDR, &Reuse, sizeof(Reuse));
  auto *Bound = reinterpret_cast<sockaddr *>(&Address);
  socklen_t Size = sizeof(Address);
  const bool IsOpen = ::bind(this->Listener, Bound, Size) == 0 &&
                      ::listen(this->Listener, SOMAXCONN) == 0 &&
                      ::getsockname(this->Listener, Bound, &Size) == 0;
  if (!IsOpen) {
    ::close(this->Listener);
    ::close(this->StopEvent);
    throw common::Error(common::ResultCode::SocketFailed,
                        "cannot listen on " + Listen.toString());
  }
  this->Local.Port = ntohs(Address.sin_port);
  this->Thread = std::thread([this] { this->run(); });
}

CallerAcceptor::~CallerAcceptor() {
  this->close();
  ::close(this->StopEvent);
}

common::Address CallerAcceptor::endpoint() const { return this->Local; }

void CallerAcceptor::close() {
  if (!this->Thread.joinable())
    return;
  ::eventfd_write(this->StopEvent, 1);
  this->Thread.join();
  // Connections that the kernel has set up already belong to callers, which
  // would see them reset.
  while (this->acceptOne())
    continue;
  ::close(this->Listener);
}

void CallerAcceptor::run() {
  pollfd Watched[2] = {{this->StopEvent, POLLIN, 0},
                       {this->Listener, POLLIN, 0}};
  while (true) {
    const int Ready = ::poll(Watched, 2, -1);
    if (Ready > 0 && Watched[0].revents != 0)
      return;
    if (Ready <= 0 || this->acceptOne() || wouldBlock(errno))
      continue;
    ::poll(Watched, 1, static_cast<int>(RetryDelay.count()));
  }
}

bool CallerAcceptor::acceptOne() {
  sockaddr_in Caller{};
  socklen_t Size = sizeof(Caller);
  const int Socket =
      ::accept4(this->Listener, reinterpret_cast<sockaddr *>(&Caller), &Size,
                SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (Socket < 0)
    return false;
  this->OnAccepted(Socket, Caller);
  return true;
}

} // namespace acaciacross::frontend
