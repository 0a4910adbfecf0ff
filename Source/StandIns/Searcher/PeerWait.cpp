#include "StandIns/Searcher/PeerWait.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <poll.h>

namespace acaciacross::standins {

PeerWait::Result PeerWait::until(common::MonotonicTime When, int Event) const {
  std::array<pollfd, 2> Watched{
      {{this->Socket, POLLRDHUP, 0}, {Event, POLLIN, 0}}};
  while (true) {
    const auto Left = std::max(
        std::chrono::nanoseconds(When - std::chrono::steady_clock::now()),
        std::chrono::nanoseconds(0));
    const auto Seconds = std::chrono::floor<std::chrono::seconds>(Left);
    const timespec Timeout{Seconds.count(), (Left - Seconds).count()};
    if (ppoll(Watched.data(), Watched.size(), &Timeout, nullptr) == 0)
      return Result::TimePassed;
    if (Watched[0].revents != 0)
      return Result::PeerClosed;
    if (Watched[1].revents != 0)
      return Result::EventSet;
  }
}

} // namespace acaciacross::standins
