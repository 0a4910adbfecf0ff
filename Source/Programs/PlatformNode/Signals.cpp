#include "Programs/PlatformNode/Signals.h"

#include "Common/Error.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdint>

namespace acaciacross::nodeprogram {

Signals::Signals() {
  sigset_t Wanted;
  ::sigemptyset(&Wanted);
  for (const int Number : {SIGTERM, SIGINT, SIGHUP})
    ::sigaddset(&Wanted, Number);
  ::pthread_sigmask(SIG_BLOCK, &Wanted, nullptr);
  // A peer that closes its connection must not end this process.
  ::signal(SIGPIPE, SIG_IGN);
  this->Source =
      net::Descriptor(::signalfd(-1, &Wanted, SFD_NONBLOCK | SFD_CLOEXEC));
  this->Waker = net::Descriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
  if (!this->Source.isOpen() || !this->Waker.isOpen())
    throw common::Error(common::ResultCode::SocketFailed,
                        "signals cannot be received");
}

int Signals::wait(std::chrono::milliseconds Time) {
  std::array<pollfd, 2> Sources = {pollfd{this->Source.get(), POLLIN, 0},
                                   pollfd{this->Waker.get(), POLLIN, 0}};
  ::poll(Sources.data(), Sources.size(), static_cast<int>(Time.count()));
  signalfd_siginfo Received{};
  if (::read(this->Source.get(), &Received, sizeof Received) != sizeof Received)
    return 0;
  return static_cast<int>(Received.ssi_signo);
}

void Signals::wake() const {
  const std::uint64_t One = 1;
  [[maybe_unused]] const auto Written =
      ::write(this->Waker.get(), &One, sizeof One);
}

} // namespace acaciacross::nodeprogram
