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

// When the process has no free file descriptor, the listening socket stays
// readable. The delay keeps the thread from spinning.
constexpr std::chrono::milliseconds AcceptRetryDelay{50};

bool isTransientError(int Error) {
  return Error == EAGAIN || Error == EWOULDBLOCK || Error == EINTR ||
         Error == ECONNABORTED;
}

} // namespace

CallerAcceptor::CallerAcceptor(const common::Address &ListenAddress,
                               Handler OnAccepted)
    : LocalAddress(ListenAddress), OnAccepted(std::move(OnAccepted)),
      ListenSocket(
          ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
      StopEvent(::eventfd(0, EFD_CLOEXEC)) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(ListenAddress.Port);
  ::inet_pton(AF_INET, ListenAddress.Host.c_str(), &Address.sin_addr);
  // Lets a restarted process bind the port while connections of the previous
  // process are in TIME_WAIT.
  const int ReuseAddress = 1;
  ::setsockopt(this->ListenSocket, SOL_SOCKET, SO_REUSEADDR, &ReuseAddress,
               sizeof(ReuseAddress));
  auto *Bound = reinterpret_cast<sockaddr *>(&Address);
  socklen_t Size = sizeof(Address);
  const bool IsOpen = ::bind(this->ListenSocket, Bound, Size) == 0 &&
                      ::listen(this->ListenSocket, SOMAXCONN) == 0 &&
                      ::getsockname(this->ListenSocket, Bound, &Size) == 0;
  if (!IsOpen) {
    ::close(this->ListenSocket);
    ::close(this->StopEvent);
    throw common::Error(common::ResultCode::SocketFailed,
                        "cannot listen on " + ListenAddress.toString());
  }
  this->LocalAddress.Port = ntohs(Address.sin_port);
  this->Thread = std::thread([this] { this->run(); });
}

CallerAcceptor::~CallerAcceptor() {
  this->close();
  ::close(this->StopEvent);
}

common::Address CallerAcceptor::endpoint() const { return this->LocalAddress; }

void CallerAcceptor::close() {
  if (!this->Thread.joinable())
    return;
  ::eventfd_write(this->StopEvent, 1);
  this->Thread.join();
  // Accepts the connections that the kernel has already established, because
  // closing the listening socket would reset them.
  while (this->acceptConnection())
    continue;
  ::close(this->ListenSocket);
}

void CallerAcceptor::run() {
  pollfd Polled[2] = {{this->StopEvent, POLLIN, 0},
                      {this->ListenSocket, POLLIN, 0}};
  while (true) {
    const int ReadyCount = ::poll(Polled, 2, -1);
    if (ReadyCount > 0 && Polled[0].revents != 0)
      return;
    if (ReadyCount <= 0 || this->acceptConnection() || isTransientError(errno))
      continue;
    ::poll(Polled, 1, static_cast<int>(AcceptRetryDelay.count()));
  }
}

bool CallerAcceptor::acceptConnection() {
  sockaddr_in Caller{};
  socklen_t Size = sizeof(Caller);
  const int Socket =
      ::accept4(this->ListenSocket, reinterpret_cast<sockaddr *>(&Caller),
                &Size, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (Socket < 0)
    return false;
  this->OnAccepted(Socket, Caller);
  return true;
}

} // namespace acaciacross::frontend
