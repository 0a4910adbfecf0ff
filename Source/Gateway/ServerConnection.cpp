#include "Gateway/ServerConnection.h"

#include "Http/MessageWriter.h"

#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace acaciacross::gateway {

namespace {

constexpr std::size_t ReadBytes = std::size_t{16} << 10;
// Bytes of further requests that are read while one is answered; beyond this
// the caller has to wait.
constexpr std::size_t MaxBufferedBytes = std::size_t{64} << 10;
// Callers may count their idle time from the arrival of a response, and learn
// of a new limit later than this VM.
constexpr std::chrono::milliseconds IdleGrace{3'000};

constexpr std::string_view ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

ServerConnection::ServerConnection(net::EventLoop &Events,
                                   net::Descriptor Accepted,
                                   RequestHandler &Receiver)
    : Loop(Events), Socket(std::move(Accepted)), Handler(Receiver),
      Parser(Receiver.maxHeadBytes(), Receiver.maxBodyBytes()),
      WaitsSince(Events.now()) {}

void ServerConnection::open() {
  this->Interest = EPOLLIN | EPOLLRDHUP;
  this->Loop.add(this->Socket.get(), *this, this->Interest);
  this->armTimer();
}

void ServerConnection::respond(http::Response Response) {
  if (this->isClosed())
    return;
  this->Answering = false;
  this->WaitsSince = this->Loop.now();
  Response.KeepAlive = this->KeepsAlive && !this->Handler.isStopping();
  this->ClosesAfterOutput = !Response.KeepAlive;
  this->write(http::writeResponse(Response, this->IsHead));
  if (this->isClosed())
    return;
  this->armTimer();
  // The next request may already be in; it is taken from the loop, because this
  // call may come from within the handling of the last one.
  if (!this->Input.empty() && !this->ClosesAfterOutput)
    this->Loop.schedule(this->Loop.now(), [Self = this->shared_from_this()] {
      Self->parseBuffered();
    });
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

bool ServerConnection::isAnswering() const { return this->Answering; }

common::MonotonicTime ServerConnection::requestAt() const {
  return this->CompleteAt;
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
  std::array<char, ReadBytes> Buffer;
  const ssize_t Count =
      ::recv(this->Socket.get(), Buffer.data(), Buffer.size(), 0);
  if (Count < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (Count <= 0) {
    this->close();
    return;
  }
  this->Input.append(Buffer.data(), static_cast<std::size_t>(Count));
  if (!this->Answering)
    this->parseBuffered();
  else
    this->watch();
}

void ServerConnection::parseBuffered() {
  if (this->isClosed() || this->Answering || this->ClosesAfterOutput)
    return;
  const bool WasStarted = this->Parser.hasStarted();
  if (!WasStarted)
    this->Parser.limit(this->Handler.maxHeadBytes(),
                       this->Handler.maxBodyBytes());
  const std::size_t Used = this->Parser.feed(this->Input);
  this->Input.erase(0, Used);
  if (this->Parser.problem() != http::ParseProblem::None) {
    this->Input.clear();
    this->KeepsAlive = false;
    this->Answering = true;
    this->Handler.onUnreadable(*this, this->Parser.problem());
    return;
  }
  if (this->Parser.isComplete()) {
    this->takeRequest();
    return;
  }
  if (this->Parser.expectsContinue() && !this->SentContinue) {
    this->SentContinue = true;
    this->write(ContinueResponse);
  }
  if (!WasStarted && this->Parser.hasStarted()) {
    this->WaitsSince = this->Loop.now();
    this->armTimer();
  }
}

void ServerConnection::takeRequest() {
  http::Request Request = this->Parser.take();
  this->SentContinue = false;
  this->Answering = true;
  this->CompleteAt = this->Loop.now();
  this->KeepsAlive = Request.KeepAlive;
  this->IsHead = Request.Method == "HEAD";
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
  }
  this->Output.append(Bytes);
  if (this->Output.empty() && this->ClosesAfterOutput) {
    this->close();
    return;
  }
  this->watch();
}

void ServerConnection::flush() {
  const std::string Bytes = std::move(this->Output);
  this->Output.clear();
  this->write(Bytes);
}

void ServerConnection::watch() {
  std::uint32_t Wanted = EPOLLRDHUP;
  if (this->Input.size() < MaxBufferedBytes)
    Wanted |= EPOLLIN;
  if (!this->Output.empty())
    Wanted |= EPOLLOUT;
  if (Wanted == this->Interest)
    return;
  this->Interest = Wanted;
  this->Loop.change(this->Socket.get(), Wanted);
}

// One timer for the whole life of the connection: it looks at what is due and
// sets itself again, which costs less than a timer for each request.
void ServerConnection::armTimer() {
  const common::MonotonicTime Due = this->WaitsSince + this->waitLimit();
  if (this->Timer && this->Timer->At <= Due)
    return;
  if (this->Timer)
    this->Loop.cancel(*this->Timer);
  this->Timer = this->Loop.schedule(Due, [this] { this->onTimer(); });
}

// A body has the time of an idle connection: the limit for heads says nothing
// of it, and a slow link may take long.
std::chrono::milliseconds ServerConnection::waitLimit() const {
  if (this->Parser.hasStarted() && !this->Parser.isHeadComplete())
    return this->Handler.headTimeout();
  return this->Handler.idleTimeout() + IdleGrace;
}

void ServerConnection::onTimer() {
  this->Timer.reset();
  if (this->Answering) {
    this->Timer =
        this->Loop.schedule(this->Loop.now() + this->Handler.idleTimeout(),
                            [this] { this->onTimer(); });
    return;
  }
  const bool InHead = this->Parser.hasStarted();
  if (this->Loop.now() < this->WaitsSince + this->waitLimit()) {
    this->armTimer();
    return;
  }
  if (!InHead) {
    this->close();
    return;
  }
  this->KeepsAlive = false;
  this->Answering = true;
  this->Handler.onUnreadable(*this, http::ParseProblem::None);
}

} // namespace acaciacross::gateway
