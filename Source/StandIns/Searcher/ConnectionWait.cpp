#include "StandIns/Searcher/ConnectionWait.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <poll.h>

namespace acaciacross::standins {

ConnectionWait::Result ConnectionWait::until(common::MonotonicTime When,
                                             int Event) const {
  std::array<pollfd, 2> Polled{
      {{this->Socket, POLLRDHUP, 0}, {Event, POLLIN, 0}}};
  while (true) {
    const auto Remaining = std::max(
        std::chrono::nanoseconds(When - std::chrono::steady_clock::now()),
        std::chrono::nanoseconds(0));
    const auto Seconds = std::chrono::floor<std::chrono::seconds>(Remaining);
    const timespec Timeout{Seconds.count(), (Remaining - Seconds).count()};
    if (ppoll(Polled.data(), Polled.size(), &Timeout, nullptr) == 0)
      return Result::TimedOut;
    if (Polled[0].revents != 0)
      return Result::ConnectionClosed;
    if (Polled[1].revents != 0)
      return Result::EventSet;
  }
}

} // namespace acaciacross::standins
