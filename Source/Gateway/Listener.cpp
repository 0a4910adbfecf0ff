#include "Gateway/Listener.h"

#include "Net/Sockets.h"

#include <sys/epoll.h>

#include <algorithm>
#include <vector>

namespace acaciacross::gateway {

namespace {

// Limits the delay of other events; further connections are accepted in the
// next round.
constexpr int AcceptsPerRound = 16;
// Closed connections are removed once at least this many are held.
constexpr std::size_t MinCleanupThreshold = 64;

} // namespace

Listener::Listener(net::EventLoop &Loop, const common::Address &Local,
                   RequestHandler &Handler)
    : Loop(Loop), Handler(Handler), Socket(net::listenAt(Local)),
      CleanupThreshold(MinCleanupThreshold) {
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
  for (int I = 0; I < AcceptsPerRound; ++I)
    if (!this->acceptNext())
      break;
  if (this->Connections.size() >= this->CleanupThreshold)
    this->removeClosed();
}

bool Listener::acceptNext() {
  if (!this->Socket.isOpen())
    return false;
  net::Descriptor Accepted = net::acceptFrom(this->Socket);
  if (!Accepted.isOpen())
    return false;
  const auto Connection = std::make_shared<ServerConnection>(
      this->Loop, std::move(Accepted), this->Handler);
  this->Connections.emplace(Connection.get(), Connection);
  Connection->open();
  return true;
}

void Listener::closeSocket() {
  if (!this->Socket.isOpen())
    return;
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
