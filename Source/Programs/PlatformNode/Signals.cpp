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
  sigset_t Mask;
  ::sigemptyset(&Mask);
  for (const int Number : {SIGTERM, SIGINT, SIGHUP})
    ::sigaddset(&Mask, Number);
  ::pthread_sigmask(SIG_BLOCK, &Mask, nullptr);
  // Writing to a connection that the peer has closed must not end this process.
  ::signal(SIGPIPE, SIG_IGN);
  this->SignalSource =
      net::Descriptor(::signalfd(-1, &Mask, SFD_NONBLOCK | SFD_CLOEXEC));
  this->WakeEvent = net::Descriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
  if (!this->SignalSource.isOpen() || !this->WakeEvent.isOpen())
    throw common::Error(common::ResultCode::SocketFailed,
                        "signals cannot be received");
}

int Signals::wait(std::chrono::milliseconds Timeout) {
  std::array<pollfd, 2> Polled = {pollfd{this->SignalSource.get(), POLLIN, 0},
                                  pollfd{this->WakeEvent.get(), POLLIN, 0}};
  ::poll(Polled.data(), Polled.size(), static_cast<int>(Timeout.count()));
  signalfd_siginfo Received{};
  if (::read(this->SignalSource.get(), &Received, sizeof Received) !=
      sizeof Received)
    return 0;
  return static_cast<int>(Received.ssi_signo);
}

void Signals::wake() const {
  const std::uint64_t One = 1;
  [[maybe_unused]] const auto Written =
      ::write(this->WakeEvent.get(), &One, sizeof One);
}

} // namespace acaciacross::nodeprogram
