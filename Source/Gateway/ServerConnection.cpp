#include "Gateway/ServerConnection.h"

#include "Http/MessageWriter.h"
#include "Net/Sockets.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace acaciacross::gateway {

namespace {

constexpr std::size_t ReadBufferBytes = std::size_t{16} << 10;
// Bytes of pipelined requests that are read while one is in progress. At this
// size reading stops until that one is answered.
constexpr std::size_t MaxBufferedBytes = std::size_t{64} << 10;
// Callers may measure the idle time from the arrival of a response, and may
// learn of a changed timeout later than this VM.
constexpr std::chrono::milliseconds IdleGrace{3'000};

// How long a new connection to a stopping VM may take to bring its request.
constexpr std::chrono::milliseconds FirstRequestTimeout{1'000};
// How long a connection whose last response was sent waits for the caller to
// close it.
constexpr std::chrono::milliseconds LingerTimeout{1'000};

constexpr std::string_view ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

ServerConnection::ServerConnection(net::EventLoop &Loop, net::Descriptor Socket,
                                   RequestHandler &Handler)
    : Loop(Loop), Socket(std::move(Socket)),
      Caller(net::remoteHost(this->Socket)), Handler(Handler),
      Parser(Handler.maxHeadBytes(), Handler.maxBodyBytes()),
      WaitingSince(Loop.now()) {}

void ServerConnection::open() {
  this->Interest = EPOLLIN | EPOLLRDHUP;
  this->Loop.add(this->Socket.get(), *this, this->Interest);
  this->armTimer();
}

void ServerConnection::respond(http::Response Response) {
  if (this->isClosed())
    return;
  this->IsAnsweringRequest = false;
  this->WaitingSince = this->Loop.now();
  Response.KeepAlive = this->KeepsAlive && !this->Handler.isStopping();
  this->ClosesAfterOutput = !Response.KeepAlive;
  this->write(http::writeResponse(Response, this->IsHeadRequest));
  if (this->isClosed())
    return;
  this->armTimer();
  // The next request may already be buffered. It is parsed from the event loop,
  // because this function may be called while the previous request is handled.
  if (!this->Input.empty() && !this->ClosesAfterOutput)
    this->Loop.schedule(this->Loop.now(), [Self = this->shared_from_this()] {
      Self->parseBuffered();
    });
}

void ServerConnection::finish() {
  if (this->isClosed())
    return;
  // Closing a connection with unread bytes would reset it, and with it the
  // response of a request that has already arrived.
  if (!this->IsAnsweringRequest && !this->IsLingering)
    this->onReadable();
  if (this->isClosed() || this->IsAnsweringRequest || this->IsLingering)
    return;
  if (!this->Output.empty()) {
    this->ClosesAfterOutput = true;
    return;
  }
  if (this->Parser.hasStarted() || !this->HasReadRequest)
    this->armTimer();
  else
    this->close();
}

void ServerConnection::close() {
  if (this->isClosed())
    return;
  if (this->Timer)
    this->Loop.cancel(*this->Timer);
  this->Timer.reset();
  this->Loop.remove(this->Socket.get());
  this->Socket.reset();
  const std::shared_ptr<ServerConnection> Self = this->shared_from_this();
  this->Loop.retire(Self);
  this->Handler.onClosed(*this);
}

bool ServerConnection::isClosed() const { return !this->Socket.isOpen(); }

const common::CallerHost &ServerConnection::caller() const {
  return this->Caller;
}

common::MonotonicTime ServerConnection::requestCompletedAt() const {
  return this->RequestCompletedAt;
}

void ServerConnection::onReady(std::uint32_t Events) {
  const std::shared_ptr<ServerConnection> Self = this->shared_from_this();
  if ((Events & (EPOLLERR | EPOLLHUP)) != 0) {
    this->close();
    return;
  }
  if ((Events & EPOLLOUT) != 0)
    this->flush();
  if (!this->isClosed() && (Events & (EPOLLIN | EPOLLRDHUP)) != 0)
    this->onReadable();
}

void ServerConnection::onReadable() {
  std::array<char, ReadBufferBytes> Buffer;
  const ssize_t Count =
      ::recv(this->Socket.get(), Buffer.data(), Buffer.size(), 0);
  if (Count < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (Count == 0 && !this->Output.empty()) {
    this->HasInputEnded = true;
    this->ClosesAfterOutput = true;
    this->watch();
    return;
  }
  if (Count <= 0) {
    this->close();
    return;
  }
  if (this->ClosesAfterOutput)
    return;
  this->Input.append(Buffer.data(), static_cast<std::size_t>(Count));
  if (!this->IsAnsweringRequest)
    this->parseBuffered();
  else
    this->watch();
}

void ServerConnection::parseBuffered() {
  if (this->isClosed() || this->IsAnsweringRequest || this->ClosesAfterOutput)
    return;
  const bool WasStarted = this->Parser.hasStarted();
  if (!WasStarted)
    this->Parser.limit(this->Handler.maxHeadBytes(),
                       this->Handler.maxBodyBytes());
  const std::size_t Used = this->Parser.feed(this->Input);
  this->Input.erase(0, Used);
  if (this->Parser.problem() != http::ParseProblem::None) {
    this->Input.clear();
    this->HasRejectedInput = true;
    this->KeepsAlive = false;
    this->IsAnsweringRequest = true;
    this->Handler.onRequestError(*this, this->Parser.problem());
    return;
  }
  if (this->Parser.isComplete()) {
    this->dispatchRequest();
    return;
  }
  if (this->Parser.expectsContinue() && !this->HasSentContinue) {
    this->HasSentContinue = true;
    this->write(ContinueResponse);
  }
  if (!WasStarted && this->Parser.hasStarted()) {
    this->WaitingSince = this->Loop.now();
    this->armTimer();
  }
}

void ServerConnection::dispatchRequest() {
  http::Request Request = this->Parser.take();
  this->HasSentContinue = false;
  this->IsAnsweringRequest = true;
  this->HasReadRequest = true;
  this->RequestCompletedAt = this->Loop.now();
  this->KeepsAlive = Request.KeepAlive;
  this->IsHeadRequest = Request.Method == "HEAD";
  this->Handler.onRequest(this->shared_from_this(), std::move(Request));
}

void ServerConnection::write(std::string_view Bytes) {
  if (this->Output.empty()) {
    const ssize_t Count =
        ::send(this->Socket.get(), Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (Count < 0 && errno != EAGAIN && errno != EINTR) {
      this->close();
      return;
    }
    Bytes.remove_prefix(static_cast<std::size_t>(std::max<ssize_t>(Count, 0)));
    if (Count > 0)
      this->WaitingSince = this->Loop.now();
  }
  this->Output.append(Bytes);
  if (this->Output.empty() && this->ClosesAfterOutput) {
    this->endOutput();
    return;
  }
  this->watch();
}

void ServerConnection::flush() {
  const std::string Bytes = std::move(this->Output);
  this->Output.clear();
  this->write(Bytes);
}

// The caller must be able to read all of the response. Bytes that arrive after
// a close reset the connection, and a stopping VM may vanish while it still has
// unacknowledged bytes.
void ServerConnection::endOutput() {
  const bool AwaitsClose = this->Handler.isStopping() || this->HasRejectedInput;
  if (!AwaitsClose || this->HasInputEnded) {
    this->close();
    return;
  }
  this->IsLingering = true;
  this->WaitingSince = this->Loop.now();
  ::shutdown(this->Socket.get(), SHUT_WR);
  this->watch();
  this->armTimer();
}

void ServerConnection::watch() {
  std::uint32_t Wanted = this->HasInputEnded ? 0U : std::uint32_t{EPOLLRDHUP};
  if (this->Input.size() < MaxBufferedBytes && !this->HasInputEnded)
    Wanted |= EPOLLIN;
  if (!this->Output.empty())
    Wanted |= EPOLLOUT;
  if (Wanted == this->Interest)
    return;
  this->Interest = Wanted;
  this->Loop.change(this->Socket.get(), Wanted);
}

// The connection uses a single timer, which checks the deadline and sets itself
// again. This costs less than a timer for each request.
void ServerConnection::armTimer() {
  const common::MonotonicTime Due = this->WaitingSince + this->waitLimit();
  if (this->Timer && this->Timer->DueAt <= Due)
    return;
  if (this->Timer)
    this->Loop.cancel(*this->Timer);
  this->Timer = this->Loop.schedule(Due, [this] { this->onTimer(); });
}

// A body may take as long as a connection may be idle: the timeout for heads
// does not apply to it, and a slow link may need long.
std::chrono::milliseconds ServerConnection::waitLimit() const {
  if (this->IsLingering)
    return LingerTimeout;
  if (this->Parser.hasStarted() && !this->Parser.isHeadComplete())
    return this->Handler.headTimeout();
  if (this->Handler.isStopping() && !this->HasReadRequest &&
      !this->Parser.hasStarted())
    return FirstRequestTimeout;
  return this->Handler.idleTimeout() + IdleGrace;
}

void ServerConnection::onTimer() {
  this->Timer.reset();
  if (this->IsAnsweringRequest) {
    this->Timer =
        this->Loop.schedule(this->Loop.now() + this->Handler.idleTimeout(),
                            [this] { this->onTimer(); });
    return;
  }
  const bool HasPartialRequest = this->Parser.hasStarted();
  if (this->Loop.now() < this->WaitingSince + this->waitLimit()) {
    this->armTimer();
    return;
  }
  if (this->IsLingering && net::unacknowledgedBytes(this->Socket) > 0) {
    this->WaitingSince = this->Loop.now();
    this->armTimer();
    return;
  }
  if (!HasPartialRequest || this->ClosesAfterOutput) {
    this->close();
    return;
  }
  this->HasRejectedInput = true;
  this->KeepsAlive = false;
  this->IsAnsweringRequest = true;
  this->Handler.onRequestError(*this, http::ParseProblem::None);
}

} // namespace acaciacross::gateway
