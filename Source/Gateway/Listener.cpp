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
  this->stopAccepting();
  const auto Open = this->Connections;
  for (const auto &[Key, Connection] : Open)
    Connection->close();
}

void Listener::stopAccepting() {
  if (!this->Socket.isOpen())
    return;
  this->Loop.remove(this->Socket.get());
  this->Socket.reset();
}

void Listener::closeIdle() {
  const auto Open = this->Connections;
  for (const auto &[Key, Connection] : Open)
    if (!Connection->isClosed() && !Connection->isAnswering())
      Connection->close();
  this->removeClosed();
}

std::size_t Listener::size() const { return this->Connections.size(); }

void Listener::onReady(std::uint32_t) {
  for (int I = 0; I < AcceptsPerRound; ++I) {
    net::Descriptor Accepted = net::acceptFrom(this->Socket);
    if (!Accepted.isOpen())
      return;
    const auto Connection = std::make_shared<ServerConnection>(
        this->Loop, std::move(Accepted), this->Handler);
    this->Connections.emplace(Connection.get(), Connection);
    Connection->open();
  }
  if (this->Connections.size() >= this->CleanupThreshold)
    this->removeClosed();
}

void Listener::removeClosed() {
  std::erase_if(this->Connections,
                [](const auto &Entry) { return Entry.second->isClosed(); });
  this->CleanupThreshold =
      std::max(MinCleanupThreshold, 2 * this->Connections.size());
}

} // namespace acaciacross::gateway
