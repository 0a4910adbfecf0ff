#include "Gateway/Listener.h"

#include "Net/Sockets.h"

#include <sys/epoll.h>

#include <algorithm>
#include <vector>

namespace acaciacross::gateway {

namespace {

// The loop has other events; what is left is accepted in its next round.
constexpr int AcceptsPerRound = 16;
// Closed connections are forgotten when this many are held, at least.
constexpr std::size_t LeastSweep = 64;

} // namespace

Listener::Listener(net::EventLoop &Events, const common::Address &Local,
                   RequestHandler &Receiver)
    : Loop(Events), Handler(Receiver), Socket(net::listenAt(Local)),
      SweepAt(LeastSweep) {
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
  if (this->Connections.size() >= this->SweepAt)
    this->removeClosed();
}

void Listener::removeClosed() {
  std::erase_if(this->Connections,
                [](const auto &Each) { return Each.second->isClosed(); });
  this->SweepAt = std::max(LeastSweep, 2 * this->Connections.size());
}

} // namespace acaciacross::gateway
