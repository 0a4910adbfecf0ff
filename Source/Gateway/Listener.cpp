#include "Gateway/Listener.h"

#include "Gateway/IdleSelector.h"
#include "Net/Sockets.h"

#include <sys/epoll.h>

#include <algorithm>
#include <cerrno>
#include <vector>

namespace acaciacross::gateway {

namespace {

// Limits the delay of other events; further connections are accepted in the
// next round.
constexpr int AcceptsPerRound = 16;
// Closed connections are removed once at least this many are held.
constexpr std::size_t MinCleanupThreshold = 64;
// Bounds the work of a listener without room, and the delay after which it
// notices that there is some.
constexpr std::chrono::milliseconds ResumePeriod{50};
// Looking for connections to close costs a look at all of them.
constexpr std::size_t RoomDivisor = 16;

bool isOutOfDescriptors(int Error) {
  return Error == EMFILE || Error == ENFILE || Error == ENOBUFS ||
         Error == ENOMEM;
}

} // namespace

Listener::Listener(net::EventLoop &Loop, const common::Address &Local,
                   RequestHandler &Handler, ClientGuard &Guard,
                   const ConnectionAllowance &Allowance)
    : Loop(Loop), Handler(Handler), Guard(Guard), Allowance(Allowance),
      Socket(net::listenAt(Local)), CleanupThreshold(MinCleanupThreshold) {
  this->Loop.add(this->Socket.get(), *this, EPOLLIN);
}

Listener::~Listener() {
  this->closeSocket();
  const auto Open = this->Connections;
  for (const auto &[Key, Connection] : Open)
    Connection->close();
}

// Closing the socket resets the connections that are established but not yet
// accepted, and their requests with them.
void Listener::finish() {
  while (this->acceptNext())
    ;
  this->closeSocket();
  const auto Open = this->Connections;
  for (const auto &[Key, Connection] : Open)
    Connection->finish();
  this->removeClosed();
}

std::size_t Listener::size() {
  this->removeClosed();
  return this->Connections.size();
}

void Listener::onReady(std::uint32_t) {
  for (int I = 0; I < AcceptsPerRound; ++I) {
    if (!this->hasRoom())
      this->makeRoom();
    if (!this->hasRoom()) {
      this->pause();
      break;
    }
    if (!this->acceptNext())
      break;
  }
  if (this->Connections.size() >= this->CleanupThreshold)
    this->removeClosed();
}

bool Listener::acceptNext() {
  if (!this->Socket.isOpen())
    return false;
  net::Descriptor Accepted = net::acceptFrom(this->Socket);
  if (!Accepted.isOpen()) {
    // The waiting connection keeps the socket readable.
    if (isOutOfDescriptors(errno)) {
      this->makeRoom();
      this->pause();
    }
    return false;
  }
  const auto Connection = std::make_shared<ServerConnection>(
      this->Loop, std::move(Accepted), this->Handler, this->Guard);
  this->Connections.emplace(Connection.get(), Connection);
  Connection->open();
  return true;
}

// The allowance of callers counts the connections to all searchers, which would
// cost more than the rest of accepting a connection.
std::size_t Listener::maxConnections() {
  const common::MonotonicTime Now = this->Loop.now();
  if (!this->MaxComputedAt || Now - *this->MaxComputedAt >= ResumePeriod) {
    this->MaxConnections = this->Allowance.maxConnections();
    this->MaxComputedAt = Now;
  }
  return this->MaxConnections;
}

bool Listener::hasRoom() {
  const std::size_t Max = this->maxConnections();
  return this->Connections.size() < Max || this->size() < Max;
}

void Listener::makeRoom() {
  std::vector<std::shared_ptr<ServerConnection>> Idle;
  std::vector<IdleClaim> Claims;
  for (const auto &[Key, Connection] : this->Connections)
    if (const auto Claim = Connection->idleClaim()) {
      Idle.push_back(Connection);
      Claims.push_back(*Claim);
    }
  const std::size_t Count = this->maxConnections() / RoomDivisor + 1;
  for (const std::size_t I : IdleSelector::select(
           Claims, Count, this->Allowance.minIdleTime(), this->Loop.now())) {
    this->Guard.noteEnd(ClientEnd::Idle);
    Idle[I]->close();
  }
}

void Listener::pause() {
  if (this->ResumeTimer)
    return;
  this->PausedAt = this->Loop.now();
  this->Loop.change(this->Socket.get(), 0);
  this->Guard.noteAcceptPaused(this->size());
  this->armResume();
}

void Listener::armResume() {
  this->ResumeTimer =
      this->Loop.schedule(this->Loop.now() + ResumePeriod, [this] {
        this->ResumeTimer.reset();
        this->resume();
      });
}

void Listener::resume() {
  if (!this->hasRoom())
    this->makeRoom();
  if (!this->hasRoom()) {
    this->armResume();
    return;
  }
  this->Loop.change(this->Socket.get(), EPOLLIN);
  this->Guard.noteAcceptResumed(this->Loop.now() - this->PausedAt);
}

void Listener::closeSocket() {
  if (!this->Socket.isOpen())
    return;
  if (this->ResumeTimer)
    this->Loop.cancel(*this->ResumeTimer);
  this->ResumeTimer.reset();
  this->Loop.remove(this->Socket.get());
  this->Socket.reset();
}

void Listener::removeClosed() {
  std::erase_if(this->Connections,
                [](const auto &Entry) { return Entry.second->isClosed(); });
  this->CleanupThreshold =
      std::max(MinCleanupThreshold, 2 * this->Connections.size());
}

} // namespace acaciacross::gateway
