#include "Traffic/ClosingSockets.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>

namespace acaciacross::traffic {

namespace {

// A searcher that works notices the end within milliseconds; one that hangs
// must not hold the place of a connection for ever.
constexpr std::chrono::seconds LongestWait{1};

// What is left of a reply that nobody wants is read to find the end behind it.
constexpr int MaxReads = 64;

bool hasPeerEnded(int Socket) {
  char Bytes[4096];
  for (int Read = 0; Read < MaxReads; ++Read) {
    const ssize_t Length =
        ::recv(Socket, Bytes, sizeof(Bytes), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (Length > 0)
      continue;
    return Length == 0 || (errno != EAGAIN && errno != EINTR);
  }
  return false;
}

} // namespace

ClosingSockets::ClosingSockets(const common::Clock &Time) : Time(Time) {}

ClosingSockets::~ClosingSockets() {
  for (const ClosingSocket &Each : this->Sockets)
    ::close(Each.Socket);
}

bool ClosingSockets::add(int Socket, const common::Address &Endpoint) {
  ::shutdown(Socket, SHUT_WR);
  if (hasPeerEnded(Socket)) {
    ::close(Socket);
    return false;
  }
  this->Sockets.push_back(
      {Socket, Endpoint, this->Time.monotonicNow() + LongestWait});
  return true;
}

std::vector<common::Address> ClosingSockets::takeEnded() {
  std::vector<common::Address> Ended;
  if (this->Sockets.empty())
    return Ended;
  const common::MonotonicTime Now = this->Time.monotonicNow();
  std::erase_if(this->Sockets, [&](const ClosingSocket &Each) {
    if (Now < Each.GiveUpAt && !hasPeerEnded(Each.Socket))
      return false;
    ::close(Each.Socket);
    Ended.push_back(Each.Endpoint);
    return true;
  });
  return Ended;
}

std::size_t ClosingSockets::countAt(const common::Address &Endpoint) const {
  return static_cast<std::size_t>(std::count_if(
      this->Sockets.begin(), this->Sockets.end(),
      [&](const ClosingSocket &Each) { return Each.Endpoint == Endpoint; }));
}

std::vector<curl_waitfd> ClosingSockets::watched() const {
  std::vector<curl_waitfd> Watched;
  Watched.reserve(this->Sockets.size());
  for (const ClosingSocket &Each : this->Sockets)
    Watched.push_back({Each.Socket, CURL_WAIT_POLLIN, 0});
  return Watched;
}

std::optional<common::MonotonicTime> ClosingSockets::nextGiveUp() const {
  // Sockets are added in the order of their limits.
  if (this->Sockets.empty())
    return std::nullopt;
  return this->Sockets.front().GiveUpAt;
}

} // namespace acaciacross::traffic
