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

// Servers commonly end their side of a connection before they take it off their
// count: libmicrohttpd 0.9.75 does, and a searcher with a cap of 12 refused the
// connection that came right after.
constexpr std::chrono::milliseconds GraceAfterEnd{20};

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

void ClosingSockets::add(int Socket, const common::Address &Endpoint) {
  ::shutdown(Socket, SHUT_WR);
  this->Sockets.push_back(
      {Socket, Endpoint, false, this->Time.monotonicNow() + LongestWait});
}

std::vector<common::Address> ClosingSockets::takeReleased() {
  std::vector<common::Address> Released;
  if (this->Sockets.empty())
    return Released;
  const common::MonotonicTime Now = this->Time.monotonicNow();
  std::erase_if(this->Sockets, [&](ClosingSocket &Each) {
    if (!Each.HasPeerEnded && hasPeerEnded(Each.Socket)) {
      Each.HasPeerEnded = true;
      Each.ReleaseAt = std::min(Each.ReleaseAt, Now + GraceAfterEnd);
    }
    if (Now < Each.ReleaseAt)
      return false;
    ::close(Each.Socket);
    Released.push_back(Each.Endpoint);
    return true;
  });
  return Released;
}

std::size_t ClosingSockets::countAt(const common::Address &Endpoint) const {
  return static_cast<std::size_t>(std::count_if(
      this->Sockets.begin(), this->Sockets.end(),
      [&](const ClosingSocket &Each) { return Each.Endpoint == Endpoint; }));
}

// An ended socket stays readable and would end every wait at once.
std::vector<curl_waitfd> ClosingSockets::watched() const {
  std::vector<curl_waitfd> Watched;
  Watched.reserve(this->Sockets.size());
  for (const ClosingSocket &Each : this->Sockets)
    if (!Each.HasPeerEnded)
      Watched.push_back({Each.Socket, CURL_WAIT_POLLIN, 0});
  return Watched;
}

std::optional<common::MonotonicTime> ClosingSockets::nextRelease() const {
  std::optional<common::MonotonicTime> Next;
  for (const ClosingSocket &Each : this->Sockets)
    Next = std::min(Next.value_or(Each.ReleaseAt), Each.ReleaseAt);
  return Next;
}

} // namespace acaciacross::traffic
