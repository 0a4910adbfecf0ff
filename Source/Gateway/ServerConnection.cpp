#include "Gateway/ServerConnection.h"

#include "Gateway/AnswerTime.h"
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
// Callers may measure the idle time from the arrival of a response, and may
// learn of a changed timeout later than this VM.
constexpr std::chrono::milliseconds IdleGrace{3'000};

// How long a new connection to a stopping VM may take to bring its request.
constexpr std::chrono::milliseconds FirstRequestTimeout{1'000};
// How long a connection whose last response was sent waits for the caller to
// close it.
constexpr std::chrono::milliseconds LingerTimeout{1'000};

constexpr std::string_view ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

/// Memory that a text takes outside of the object; none for a short one.
std::size_t allocatedBytes(const std::string &Text) {
  return Text.capacity() > std::string().capacity() ? Text.capacity() + 1 : 0;
}

} // namespace

ServerConnection::ServerConnection(net::EventLoop &Loop, net::Descriptor Socket,
                                   RequestHandler &Handler, ClientGuard &Guard)
    : Loop(Loop), Socket(std::move(Socket)),
      Caller(net::remoteHost(this->Socket)), Handler(Handler), Guard(Guard),
      Parser(Handler.maxHeadBytes(), Handler.maxBodyBytes()),
      WaitingSince(Loop.now()), ProgressAt(Loop.now()) {}

void ServerConnection::open() {
  this->Interest = EPOLLIN | EPOLLRDHUP;
  this->Loop.add(this->Socket.get(), *this, this->Interest);
  this->Guard.add(*this);
  this->armTimer();
}

void ServerConnection::respond(http::Response Response) {
  if (this->isClosed())
    return;
  this->IsAnsweringRequest = false;
  this->RequestBytes = 0;
  this->WaitingSince = this->Loop.now();
  this->AnswerStartedAt = this->WaitingSince;
  Response.KeepAlive = this->KeepsAlive && !this->Handler.isStopping();
  this->ClosesAfterOutput = !Response.KeepAlive;
  this->write(http::writeResponse(Response, this->IsHeadRequest));
  if (this->isClosed())
    return;
  this->AnswerBytes = this->Output.size();
  this->armTimer();
  this->account();
  this->scheduleParse();
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
  // A buffered request is parsed in the next round.
  if (this->Parser.hasStarted() || !this->HasReadRequest ||
      !this->Input.empty())
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
  this->Guard.remove(*this);
  this->Guard.update(this->AccountedBytes, 0);
  this->AccountedBytes = 0;
  // The listener keeps closed connections for a while.
  std::string().swap(this->Input);
  std::string().swap(this->Output);
  this->SentBytes = 0;
  this->Parser.drop();
  const std::shared_ptr<ServerConnection> Self = this->shared_from_this();
  this->Loop.retire(Self);
  this->Handler.onClosed(*this);
}

void ServerConnection::shed() {
  if (this->isClosed() || this->IsAnsweringRequest)
    return;
  this->Guard.noteEnd(ClientEnd::Memory);
  if (!this->Output.empty() || !this->Parser.hasStarted()) {
    this->close();
    return;
  }
  this->beginRejection();
  this->Handler.onRequestShed(*this);
}

MemoryClaim ServerConnection::memoryClaim() {
  MemoryClaim Claim;
  Claim.Bytes = this->AccountedBytes;
  Claim.Use = this->IsAnsweringRequest ? MemoryUse::Serving
              : this->Output.empty()   ? MemoryUse::Receiving
                                       : MemoryUse::Sending;
  Claim.ProgressAt = this->ProgressAt;
  return Claim;
}

std::optional<IdleClaim> ServerConnection::idleClaim() const {
  if (this->isClosed() || this->IsAnsweringRequest)
    return std::nullopt;
  return IdleClaim{this->HasReadRequest, this->ProgressAt};
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
  if (!this->isClosed() && (Events & (EPOLLIN | EPOLLRDHUP)) != 0) {
    if ((this->Interest & EPOLLIN) != 0)
      this->onReadable();
    else if ((Events & EPOLLRDHUP) != 0)
      this->onHalfClose();
  }
  this->account();
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
  this->ProgressAt = this->Loop.now();
  this->Input.append(Buffer.data(), static_cast<std::size_t>(Count));
  if (this->mayParse())
    this->parseBuffered();
  this->watch();
}

// The rest of the input would only be read to be dropped: after the end of it,
// this VM answers nothing further on the connection.
void ServerConnection::onHalfClose() {
  if (this->Output.empty()) {
    this->close();
    return;
  }
  this->HasInputEnded = true;
  this->ClosesAfterOutput = true;
  this->watch();
}

// A caller that does not read its answers gets no further ones.
bool ServerConnection::mayParse() const {
  return !this->isClosed() && !this->IsAnsweringRequest &&
         !this->ClosesAfterOutput && this->Output.empty();
}

// A request that is already buffered is parsed from the event loop, because the
// previous one may still be handled, and so that a caller with many requests
// takes turns with others.
void ServerConnection::scheduleParse() {
  if (this->HasScheduledParse || this->Input.empty() || !this->mayParse())
    return;
  this->HasScheduledParse = true;
  this->Loop.schedule(this->Loop.now(), [Self = this->shared_from_this()] {
    Self->HasScheduledParse = false;
    if (!Self->mayParse())
      return;
    Self->parseBuffered();
    Self->watch();
    Self->account();
  });
}

void ServerConnection::beginRejection() {
  std::string().swap(this->Input);
  this->Parser.drop();
  this->HasRejectedInput = true;
  this->KeepsAlive = false;
  this->IsAnsweringRequest = true;
}

void ServerConnection::parseBuffered() {
  const bool WasStarted = this->Parser.hasStarted();
  const bool WasHeadComplete = this->Parser.isHeadComplete();
  if (!WasStarted)
    this->Parser.limit(this->Handler.maxHeadBytes(),
                       this->Handler.maxBodyBytes());
  const std::size_t Used = this->Parser.feed(this->Input);
  this->Input.erase(0, Used);
  if (this->Input.empty())
    std::string().swap(this->Input);
  const http::ParseProblem Problem = this->Parser.problem();
  if (Problem != http::ParseProblem::None) {
    if (Problem != http::ParseProblem::Malformed)
      this->Guard.noteEnd(ClientEnd::Oversized);
    this->beginRejection();
    this->Handler.onRequestError(*this, Problem);
    return;
  }
  if (this->Parser.isComplete()) {
    this->dispatchRequest();
    return;
  }
  if (!WasHeadComplete && this->Parser.isHeadComplete() &&
      !this->Handler.wantsBody(this->Parser.head()))
    this->Parser.dropBody();
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
  this->account();
  if (!this->Guard.admits(this->Parser.heldBytes())) {
    this->shed();
    return;
  }
  this->RequestBytes = this->Parser.heldBytes();
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
    Bytes.remove_prefix(this->send(Bytes));
    if (this->isClosed())
      return;
  }
  this->Output.append(Bytes);
  this->finishWrite();
}

// The rest is not moved forward after each part: to a caller that reads little
// at a time, that would cost far more than sending.
void ServerConnection::flush() {
  this->SentBytes +=
      this->send(std::string_view(this->Output).substr(this->SentBytes));
  if (this->isClosed())
    return;
  if (this->SentBytes == this->Output.size()) {
    std::string().swap(this->Output);
    this->SentBytes = 0;
  }
  this->finishWrite();
  if (!this->isClosed())
    this->scheduleParse();
}

std::size_t ServerConnection::send(std::string_view Bytes) {
  const ssize_t Count =
      ::send(this->Socket.get(), Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  if (Count < 0 && errno != EAGAIN && errno != EINTR)
    this->close();
  if (Count <= 0)
    return 0;
  this->WaitingSince = this->ProgressAt = this->Loop.now();
  return static_cast<std::size_t>(Count);
}

void ServerConnection::finishWrite() {
  if (this->Output.empty() && this->ClosesAfterOutput)
    this->endOutput();
  else
    this->watch();
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

// Of requests ahead, no more than one read is buffered. A caller that does not
// read its answers is not read either.
void ServerConnection::watch() {
  if (this->isClosed())
    return;
  std::uint32_t Wanted = this->HasInputEnded ? 0U : std::uint32_t{EPOLLRDHUP};
  if (this->Input.empty() && this->Output.empty() && !this->HasInputEnded)
    Wanted |= EPOLLIN;
  if (!this->Output.empty())
    Wanted |= EPOLLOUT;
  if (Wanted == this->Interest)
    return;
  this->Interest = Wanted;
  this->Loop.change(this->Socket.get(), Wanted);
}

void ServerConnection::account() {
  if (this->isClosed())
    return;
  const std::size_t Held = allocatedBytes(this->Input) +
                           allocatedBytes(this->Output) +
                           this->Parser.heldBytes() + this->RequestBytes;
  if (Held == this->AccountedBytes)
    return;
  this->Guard.update(this->AccountedBytes, Held);
  this->AccountedBytes = Held;
}

// The connection uses a single timer, which checks the deadline and sets itself
// again. This costs less than a timer for each request.
void ServerConnection::armTimer() {
  const common::MonotonicTime Due = this->waitEnd();
  if (this->Timer && this->Timer->DueAt <= Due)
    return;
  if (this->Timer)
    this->Loop.cancel(*this->Timer);
  this->Timer = this->Loop.schedule(Due, [this] { this->onTimer(); });
}

common::MonotonicTime ServerConnection::waitEnd() const {
  const common::MonotonicTime End = this->WaitingSince + this->waitLimit();
  if (this->Output.empty())
    return End;
  return std::min(End, this->AnswerStartedAt +
                           answerTime(this->AnswerBytes,
                                      this->Handler.maxBodyBytes(),
                                      this->Handler.idleTimeout() + IdleGrace));
}

void ServerConnection::noteTooSlow() {
  if (!this->Output.empty())
    this->Guard.noteEnd(ClientEnd::SlowAnswer);
  else if (this->Parser.hasStarted())
    this->Guard.noteEnd(this->Parser.isHeadComplete() ? ClientEnd::SlowBody
                                                      : ClientEnd::SlowHead);
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
  if (this->Loop.now() < this->waitEnd()) {
    this->armTimer();
    return;
  }
  if (this->IsLingering && net::unacknowledgedBytes(this->Socket) > 0) {
    this->WaitingSince = this->Loop.now();
    this->armTimer();
    return;
  }
  this->noteTooSlow();
  if (!HasPartialRequest || this->ClosesAfterOutput) {
    this->close();
    return;
  }
  this->beginRejection();
  this->Handler.onRequestError(*this, http::ParseProblem::None);
}

} // namespace acaciacross::gateway
