#include "Traffic/ClosingSockets.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>

namespace acaciacross::traffic {

namespace {

// A working searcher notices the end of a connection within milliseconds. A
// hanging one must not use up the quota for ever.
constexpr std::chrono::seconds MaxWaitForPeer{1};

// Servers commonly close their side of a connection before they decrement their
// connection count. libmicrohttpd 0.9.75 does so: a searcher with a limit of 12
// connections refused one that was opened immediately afterwards.
constexpr std::chrono::milliseconds DelayAfterPeerClose{20};

// The rest of an unwanted reply is read in order to detect the end of the
// stream.
constexpr int MaxReads = 64;

bool hasPeerClosed(int Socket) {
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

ClosingSockets::ClosingSockets(const common::Clock &TimeSource)
    : TimeSource(TimeSource) {}

ClosingSockets::~ClosingSockets() {
  for (const ClosingSocket &Entry : this->Sockets)
    ::close(Entry.Socket);
}

void ClosingSockets::add(int Socket, const common::Address &Endpoint) {
  ::shutdown(Socket, SHUT_WR);
  this->Sockets.push_back({Socket, Endpoint, false,
                           this->TimeSource.monotonicNow() + MaxWaitForPeer});
}

std::vector<common::Address> ClosingSockets::closeFinished() {
  std::vector<common::Address> Endpoints;
  if (this->Sockets.empty())
    return Endpoints;
  const common::MonotonicTime Now = this->TimeSource.monotonicNow();
  std::erase_if(this->Sockets, [&](ClosingSocket &Entry) {
    if (!Entry.HasPeerClosed && hasPeerClosed(Entry.Socket)) {
      Entry.HasPeerClosed = true;
      Entry.CloseAt = std::min(Entry.CloseAt, Now + DelayAfterPeerClose);
    }
    if (Now < Entry.CloseAt)
      return false;
    ::close(Entry.Socket);
    Endpoints.push_back(Entry.Endpoint);
    return true;
  });
  return Endpoints;
}

std::size_t ClosingSockets::countFor(const common::Address &Endpoint) const {
  return static_cast<std::size_t>(std::count_if(
      this->Sockets.begin(), this->Sockets.end(),
      [&](const ClosingSocket &Entry) { return Entry.Endpoint == Endpoint; }));
}

// A socket that the peer has closed stays readable and would end every wait at
// once.
std::vector<curl_waitfd> ClosingSockets::pollDescriptors() const {
  std::vector<curl_waitfd> Descriptors;
  Descriptors.reserve(this->Sockets.size());
  for (const ClosingSocket &Entry : this->Sockets)
    if (!Entry.HasPeerClosed)
      Descriptors.push_back({Entry.Socket, CURL_WAIT_POLLIN, 0});
  return Descriptors;
}

std::optional<common::MonotonicTime> ClosingSockets::nextCloseTime() const {
  std::optional<common::MonotonicTime> Next;
  for (const ClosingSocket &Entry : this->Sockets)
    Next = std::min(Next.value_or(Entry.CloseAt), Entry.CloseAt);
  return Next;
}

} // namespace acaciacross::traffic
