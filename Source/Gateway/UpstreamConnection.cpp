#include "Gateway/UpstreamConnection.h"

#include "Net/Sockets.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <utility>

namespace acaciacross::gateway {

namespace {

constexpr std::size_t ReadBufferBytes = std::size_t{16} << 10;
constexpr std::size_t MaxHeadBytes = std::size_t{64} << 10;
// Responses are buffered completely, so that a truncated one is never passed
// on. A VM has a few hundred MB for all of them.
constexpr std::size_t MaxBodyBytes = std::size_t{8} << 20;
// Several times what connecting to a searcher in another failure domain takes;
// a partitioned searcher does not answer at all.
constexpr std::chrono::milliseconds ConnectTimeout{400};
// Interim responses and late answers to earlier requests that may come before
// the answer. A searcher that sends more of them may never end.
constexpr unsigned MaxIgnoredMessages = 32;

} // namespace

UpstreamConnection::UpstreamConnection(net::EventLoop &Loop,
                                       UpstreamListener &Listener)
    : Loop(Loop), Listener(Listener), Parser(MaxHeadBytes, MaxBodyBytes) {}

void UpstreamConnection::open(const common::Address &Remote) {
  this->Socket = net::beginConnect(Remote);
  if (!this->Socket.isOpen()) {
    // The listener must not be called from within its own call of open.
    this->ConnectTimer = this->Loop.schedule(
        this->Loop.now(), [Self = this->shared_from_this()] { Self->abort(); });
    return;
  }
  this->Interest = EPOLLOUT;
  this->Loop.add(this->Socket.get(), *this, this->Interest);
  this->ConnectTimer = this->Loop.schedule(
      this->Loop.now() + ConnectTimeout,
      [Self = this->shared_from_this()] { Self->onConnectTimeout(); });
}

void UpstreamConnection::send(std::string_view Bytes, bool HasBody) {
  this->Parser.expect(HasBody);
  this->IgnoredCount = 0;
  this->Busy = true;
  this->write(Bytes);
}

void UpstreamConnection::close() {
  if (this->ConnectTimer)
    this->Loop.cancel(*this->ConnectTimer);
  this->ConnectTimer.reset();
  if (!this->Socket.isOpen())
    return;
  this->Loop.remove(this->Socket.get());
  this->Socket.reset();
  this->Loop.retire(this->shared_from_this());
}

bool UpstreamConnection::isConnected() const { return this->Connected; }

bool UpstreamConnection::isClosed() const { return !this->Socket.isOpen(); }

bool UpstreamConnection::hasAnswered() const { return this->Answered; }

bool UpstreamConnection::wasUnreachable() const { return this->Unreachable; }

void UpstreamConnection::onReady(std::uint32_t Events) {
  const std::shared_ptr<UpstreamConnection> Self = this->shared_from_this();
  if (!this->Connected) {
    this->finishConnect();
    return;
  }
  if ((Events & EPOLLOUT) != 0 && !this->Output.empty()) {
    const std::string Bytes = std::move(this->Output);
    this->Output.clear();
    this->write(Bytes);
  }
  if (!this->isClosed() &&
      (Events & (EPOLLIN | EPOLLRDHUP | EPOLLERR | EPOLLHUP)) != 0)
    this->onReadable();
}

void UpstreamConnection::finishConnect() {
  if (const int Error = net::takeSocketError(this->Socket)) {
    this->Unreachable = Error != ECONNRESET;
    this->abort();
    return;
  }
  this->Connected = true;
  this->Loop.cancel(*this->ConnectTimer);
  this->ConnectTimer.reset();
  this->watch(EPOLLIN | EPOLLRDHUP);
  this->Listener.onConnected(*this);
}

void UpstreamConnection::onConnectTimeout() {
  this->Unreachable = true;
  this->abort();
}

void UpstreamConnection::onReadable() {
  std::array<char, ReadBufferBytes> Buffer;
  const ssize_t Count =
      ::recv(this->Socket.get(), Buffer.data(), Buffer.size(), 0);
  if (Count < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  // Bytes that arrive without a request in progress belong to no response.
  if (!this->Busy || Count < 0) {
    this->abort();
    return;
  }
  if (Count > 0) {
    this->parse({Buffer.data(), static_cast<std::size_t>(Count)});
    return;
  }
  if (!this->HasFailed)
    this->Parser.end();
  if (this->Parser.isComplete() && !this->Parser.isInterim()) {
    this->Busy = false;
    if (this->Listener.onResponse(*this, this->Parser.take(), false))
      return;
    this->Busy = true;
  }
  this->abort();
}

void UpstreamConnection::parse(std::string_view Bytes) {
  while (!Bytes.empty()) {
    Bytes.remove_prefix(this->Parser.feed(Bytes));
    if (this->Parser.problem() != http::ParseProblem::None) {
      this->abort();
      return;
    }
    if (!this->Parser.isComplete()) {
      this->Listener.onBuffered(*this, this->Parser.heldBytes());
      return;
    }
    if (++this->IgnoredCount > MaxIgnoredMessages) {
      this->abort();
      return;
    }
    if (this->Parser.isInterim()) {
      this->Parser.take();
      continue;
    }
    http::Response Response = this->Parser.take();
    this->Answered = true;
    // A searcher may answer before it has read the whole request. It must not
    // parse the remaining bytes as another request.
    const bool MayReuse =
        Response.KeepAlive && this->Output.empty() && Bytes.empty();
    this->Busy = false;
    if (this->Listener.onResponse(*this, std::move(Response), MayReuse))
      return;
    this->Busy = true;
  }
}

void UpstreamConnection::write(std::string_view Bytes) {
  const ssize_t Count =
      ::send(this->Socket.get(), Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  // A response that arrived before the error can still be read. The error
  // itself is reported only once: after it, recv returns 0 like after an
  // orderly end.
  if (Count < 0 && errno != EAGAIN && errno != EINTR) {
    this->HasFailed = true;
    this->Output.clear();
    this->watch(EPOLLIN | EPOLLRDHUP);
    return;
  }
  Bytes.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(Count, 0)));
  this->Output.assign(Bytes);
  this->watch(this->Output.empty() ? EPOLLIN | EPOLLRDHUP
                                   : EPOLLIN | EPOLLRDHUP | EPOLLOUT);
}

void UpstreamConnection::watch(std::uint32_t Wanted) {
  if (Wanted == this->Interest)
    return;
  this->Interest = Wanted;
  this->Loop.change(this->Socket.get(), Wanted);
}

void UpstreamConnection::abort() {
  const std::shared_ptr<UpstreamConnection> Self = this->shared_from_this();
  const bool WasSent = this->Busy;
  this->close();
  this->Busy = false;
  this->Listener.onUpstreamClosed(*this, WasSent);
}

} // namespace acaciacross::gateway
